package org.baobabspindle.lab;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;
import org.baobabspindle.core.id.GroupId;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.request.GroupCandidate;
import org.baobabspindle.core.request.GroupSubset;
import org.baobabspindle.core.request.Router;
import org.kohsuke.args4j.Option;

/**
 * Compares routing policies by time to first token, time between tokens and prefix cache hits, under open-loop arrivals
 * with delayed load reports, skewed popularity of prefixes and one slow group.
 */
final class RoutingExperiment implements Experiment {
    @Option(name = "--seed", usage = "random seed of arrivals and choices")
    private long seed = 1;

    @Option(name = "--groups", usage = "number of serving groups")
    private int groupCount = 15;

    @Option(name = "--entries", usage = "number of entries, each of which routes by its own view")
    private int entryCount = 8;

    @Option(name = "--subset", usage = "groups that each entry routes to; 0 for all")
    private int subsetSize;

    @Option(name = "--load", usage = "offered load as a share of the capacity of all groups")
    private double offeredLoad = 0.6;

    @Option(name = "--seconds", usage = "simulated time in seconds")
    private int seconds = 600;

    @Option(name = "--slow-factor", usage = "factor by which the first group is slower")
    private double slowFactor = 3;

    @Option(name = "--report-lag", usage = "age of load reports in seconds")
    private double reportLagSeconds = 1;

    @Option(name = "--picture", usage = "PNG file for a chart of the percentiles")
    private String chartFile = "";

    @Override
    public void run() throws IOException {
        List<Result> results = new ArrayList<>();
        for (Policy policy : Policy.values()) {
            Result r = new Run(policy).simulate();
            results.add(r);
            System.out.println(r.toJson(seed, groupCount, offeredLoad));
        }
        if (!chartFile.isEmpty()) {
            ResultCharts.percentiles(
                    chartFile,
                    results.stream()
                            .map(r -> new ResultCharts.LatencySeries(r.policy.name(), r.firstToken))
                            .toList());
        }
    }

    /** The routing policies that are compared. */
    private enum Policy {
        RANDOM,
        ROUND_ROBIN,
        LEAST_LOAD,
        PRODUCT
    }

    private record Result(
            Policy policy, Histogram firstToken, Histogram betweenTokens, long cacheHits, long requests, long refused) {
        String toJson(long seed, int groupCount, double offeredLoad) {
            return String.format(
                    "{\"way\": \"%s\", \"seed\": %d, \"groups\": %d, \"load\": %.2f, \"requests\": %d, "
                            + "\"firstTokenP50Ms\": %d, \"firstTokenP95Ms\": %d, \"firstTokenP99Ms\": %d, "
                            + "\"betweenTokensP95Ms\": %d, \"cacheHitPercent\": %.1f, \"refused\": %d}",
                    policy,
                    seed,
                    groupCount,
                    offeredLoad,
                    requests,
                    firstToken.getValueAtPercentile(50),
                    firstToken.getValueAtPercentile(95),
                    firstToken.getValueAtPercentile(99),
                    betweenTokens.getValueAtPercentile(95),
                    100.0 * cacheHits / Math.max(1, requests),
                    refused);
        }
    }

    private record Completion(double at, int entry, int group) implements Comparable<Completion> {
        @Override
        public int compareTo(Completion other) {
            return Double.compare(at, other.at);
        }
    }

    /** A simulated run of one policy. */
    private final class Run {
        private static final int MAX_RUNNING = 32;
        private static final int PREFIXES = 400;
        private static final double MEAN_TOKENS = 100;

        private final Policy policy;
        private final Random random = new Random(seed);
        private final Random choiceRandom = new Random(seed + 1);
        private final Router router = new Router(MAX_RUNNING);
        private final List<SimulatedGroup> simulatedGroups = new ArrayList<>();
        private final int[][] outstanding = new int[entryCount][groupCount];
        private final double[][] smoothedFirstToken = new double[entryCount][groupCount];
        private final PriorityQueue<Completion> completions = new PriorityQueue<>();
        private final List<Set<GroupId>> subsets = new ArrayList<>();
        private final Histogram firstToken = new Histogram(3);
        private final Histogram betweenTokens = new Histogram(3);
        private long cacheHits;
        private long requests;
        private long refused;
        private int roundRobinIndex;

        Run(Policy policy) {
            this.policy = policy;
            for (int e = 0; e < entryCount; e++) {
                subsets.add(subsetOf(e));
            }
            for (int g = 0; g < groupCount; g++) {
                simulatedGroups.add(new SimulatedGroup(g == 0 ? slowFactor : 1, reportLagSeconds));
            }
        }

        Result simulate() {
            double arrivalsPerSecond =
                    offeredLoad * groupCount * MAX_RUNNING / (MEAN_TOKENS * SimulatedGroup.TOKEN_SECONDS * 1.4);
            double now = 0;
            while (now < seconds) {
                now += -Math.log(1 - random.nextDouble()) / arrivalsPerSecond;
                completeRequests(now);
                handleArrival(
                        now,
                        random.nextInt(entryCount),
                        randomPrefix(),
                        1 + (int) (-Math.log(1 - random.nextDouble()) * MEAN_TOKENS));
            }
            return new Result(policy, firstToken, betweenTokens, cacheHits, requests, refused);
        }

        /** Returns a prefix from a skewed distribution, in which a few prefixes make most of the traffic. */
        private int randomPrefix() {
            return (int) (PREFIXES * Math.pow(random.nextDouble(), 3));
        }

        private void completeRequests(double now) {
            while (!completions.isEmpty() && completions.peek().at() <= now) {
                Completion completion = completions.poll();
                outstanding[completion.entry()][completion.group()]--;
                simulatedGroups.get(completion.group()).finishRequest(completion.at());
            }
        }

        private void handleArrival(double now, int entry, int prefix, int tokens) {
            requests++;
            int g = choose(now, entry, prefix);
            if (g < 0) {
                refused++;
                return;
            }
            SimulatedGroup.ServiceTimes times = simulatedGroups.get(g).startRequest(now, prefix, tokens);
            cacheHits += times.cacheHit() ? 1 : 0;
            firstToken.recordValue((long) (times.firstTokenSeconds() * 1_000));
            betweenTokens.recordValue((long) (times.secondsBetweenTokens() * 1_000));
            double previous = smoothedFirstToken[entry][g];
            smoothedFirstToken[entry][g] =
                    previous == 0 ? times.firstTokenSeconds() : 0.8 * previous + 0.2 * times.firstTokenSeconds();
            outstanding[entry][g]++;
            completions.add(
                    new Completion(now + times.firstTokenSeconds() + tokens * times.secondsBetweenTokens(), entry, g));
        }

        private int choose(double now, int entry, int prefix) {
            switch (policy) {
                case RANDOM:
                    return choiceRandom.nextInt(groupCount);
                case ROUND_ROBIN:
                    roundRobinIndex++;
                    return roundRobinIndex % groupCount;
                case LEAST_LOAD:
                    return chooseLeastLoaded(now, entry);
                default:
                    return chooseByRouter(now, entry, prefix);
            }
        }

        private int chooseLeastLoaded(double now, int entry) {
            int best = 0;
            for (int g = 1; g < groupCount; g++) {
                int candidateLoad =
                        Math.max(outstanding[entry][g], simulatedGroups.get(g).reportedLoadAt(now));
                int minLoad = Math.max(
                        outstanding[entry][best], simulatedGroups.get(best).reportedLoadAt(now));
                best = candidateLoad < minLoad ? g : best;
            }
            return best;
        }

        private Set<GroupId> subsetOf(int entry) {
            List<GroupId> all =
                    IntStream.range(0, groupCount).mapToObj(GroupId::of).toList();
            return GroupSubset.of(Incarnation.of("e" + entry, 1), all, subsetSize == 0 ? groupCount : subsetSize);
        }

        private int chooseByRouter(double now, int entry, int prefix) {
            List<GroupCandidate> candidates = new ArrayList<>();
            for (int g = 0; g < groupCount; g++) {
                if (!subsets.get(entry).contains(GroupId.of(g))) {
                    continue;
                }
                Duration first = Duration.ofNanos((long) (smoothedFirstToken[entry][g] * 1e9));
                candidates.add(new GroupCandidate(
                        GroupId.of(g),
                        false,
                        outstanding[entry][g],
                        simulatedGroups.get(g).reportedLoadAt(now),
                        first));
            }
            Optional<Router.Choice> choice = router.choose(candidates, "prefix " + prefix);
            return choice.map(c -> (int) c.group().value()).orElse(-1);
        }
    }
}
