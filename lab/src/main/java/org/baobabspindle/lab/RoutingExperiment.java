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
 * Compares ways of choosing a group: time to the first token, time between tokens and prefix-cache hits, under open-loop
 * arrivals with late load reports, prefixes of uneven weight and one slow group.
 */
final class RoutingExperiment implements Experiment {
    @Option(name = "--seed", usage = "seed of arrivals and choices")
    private long seed = 1;

    @Option(name = "--groups", usage = "serving groups")
    private int groups = 15;

    @Option(name = "--entries", usage = "entries that choose, each with its own view")
    private int entries = 8;

    @Option(name = "--subset", usage = "groups that each entry keeps track of; 0 for all")
    private int subset;

    @Option(name = "--load", usage = "offered load as a share of what all groups can take")
    private double load = 0.6;

    @Option(name = "--seconds", usage = "simulated time")
    private int seconds = 600;

    @Option(name = "--slow-factor", usage = "how much slower the first group is")
    private double slowFactor = 3;

    @Option(name = "--report-lag", usage = "age of load reports in seconds")
    private double reportLag = 1;

    @Option(name = "--picture", usage = "PNG file for a picture of the percentiles")
    private String picture = "";

    @Override
    public void run() throws IOException {
        List<Result> results = new ArrayList<>();
        for (Way way : Way.values()) {
            Result r = new Run(way).simulate();
            results.add(r);
            System.out.println(r.json(seed, groups, load));
        }
        if (!picture.isEmpty()) {
            Pictures.percentiles(
                    picture,
                    results.stream()
                            .map(r -> new Pictures.Bar(r.way.name(), r.firstToken))
                            .toList());
        }
    }

    /** The ways that are compared. */
    private enum Way {
        RANDOM,
        ROUND_ROBIN,
        LEAST_LOAD,
        PRODUCT
    }

    private record Result(Way way, Histogram firstToken, Histogram between, long hits, long requests, long refused) {
        String json(long seed, int groups, double load) {
            return String.format(
                    "{\"way\": \"%s\", \"seed\": %d, \"groups\": %d, \"load\": %.2f, \"requests\": %d, "
                            + "\"firstTokenP50Ms\": %d, \"firstTokenP95Ms\": %d, \"firstTokenP99Ms\": %d, "
                            + "\"betweenTokensP95Ms\": %d, \"cacheHitPercent\": %.1f, \"refused\": %d}",
                    way,
                    seed,
                    groups,
                    load,
                    requests,
                    firstToken.getValueAtPercentile(50),
                    firstToken.getValueAtPercentile(95),
                    firstToken.getValueAtPercentile(99),
                    between.getValueAtPercentile(95),
                    100.0 * hits / Math.max(1, requests),
                    refused);
        }
    }

    private record Ending(double at, int entry, int group) implements Comparable<Ending> {
        @Override
        public int compareTo(Ending other) {
            return Double.compare(at, other.at);
        }
    }

    /** One simulated run of one way. */
    private final class Run {
        private static final int MAX_RUNNING = 32;
        private static final int PREFIXES = 400;
        private static final double MEAN_TOKENS = 100;

        private final Way way;
        private final Random random = new Random(seed);
        private final Random choices = new Random(seed + 1);
        private final Router router = new Router(MAX_RUNNING);
        private final List<ModelGroup> servers = new ArrayList<>();
        private final int[][] outstanding = new int[entries][groups];
        private final double[][] seenFirst = new double[entries][groups];
        private final PriorityQueue<Ending> endings = new PriorityQueue<>();
        private final List<Set<GroupId>> subsets = new ArrayList<>();
        private final Histogram firstToken = new Histogram(3);
        private final Histogram between = new Histogram(3);
        private long hits;
        private long requests;
        private long refused;
        private int turn;

        Run(Way way) {
            this.way = way;
            for (int e = 0; e < entries; e++) {
                subsets.add(subsetOf(e));
            }
            for (int g = 0; g < groups; g++) {
                servers.add(new ModelGroup(g == 0 ? slowFactor : 1, reportLag));
            }
        }

        Result simulate() {
            double perSecond = load * groups * MAX_RUNNING / (MEAN_TOKENS * ModelGroup.TOKEN_SECONDS * 1.4);
            double now = 0;
            while (now < seconds) {
                now += -Math.log(1 - random.nextDouble()) / perSecond;
                end(now);
                arrive(
                        now,
                        random.nextInt(entries),
                        prefix(),
                        1 + (int) (-Math.log(1 - random.nextDouble()) * MEAN_TOKENS));
            }
            return new Result(way, firstToken, between, hits, requests, refused);
        }

        /** A few prefixes make most of the traffic. */
        private int prefix() {
            return (int) (PREFIXES * Math.pow(random.nextDouble(), 3));
        }

        private void end(double now) {
            while (!endings.isEmpty() && endings.peek().at() <= now) {
                Ending e = endings.poll();
                outstanding[e.entry()][e.group()]--;
                servers.get(e.group()).end(e.at());
            }
        }

        private void arrive(double now, int entry, int prefix, int tokens) {
            requests++;
            int g = choose(now, entry, prefix);
            if (g < 0) {
                refused++;
                return;
            }
            ModelGroup.Service s = servers.get(g).start(now, prefix, tokens);
            hits += s.hit() ? 1 : 0;
            firstToken.recordValue((long) (s.firstTokenSeconds() * 1_000));
            between.recordValue((long) (s.betweenSeconds() * 1_000));
            double old = seenFirst[entry][g];
            seenFirst[entry][g] = old == 0 ? s.firstTokenSeconds() : 0.8 * old + 0.2 * s.firstTokenSeconds();
            outstanding[entry][g]++;
            endings.add(new Ending(now + s.firstTokenSeconds() + tokens * s.betweenSeconds(), entry, g));
        }

        private int choose(double now, int entry, int prefix) {
            switch (way) {
                case RANDOM:
                    return choices.nextInt(groups);
                case ROUND_ROBIN:
                    turn++;
                    return turn % groups;
                case LEAST_LOAD:
                    return leastLoad(now, entry);
                default:
                    return product(now, entry, prefix);
            }
        }

        private int leastLoad(double now, int entry) {
            int best = 0;
            for (int g = 1; g < groups; g++) {
                int load = Math.max(outstanding[entry][g], servers.get(g).reported(now));
                int least = Math.max(outstanding[entry][best], servers.get(best).reported(now));
                best = load < least ? g : best;
            }
            return best;
        }

        private Set<GroupId> subsetOf(int entry) {
            List<GroupId> all = IntStream.range(0, groups).mapToObj(GroupId::of).toList();
            return GroupSubset.of(Incarnation.of("e" + entry, 1), all, subset == 0 ? groups : subset);
        }

        private int product(double now, int entry, int prefix) {
            List<GroupCandidate> candidates = new ArrayList<>();
            for (int g = 0; g < groups; g++) {
                if (!subsets.get(entry).contains(GroupId.of(g))) {
                    continue;
                }
                Duration first = Duration.ofNanos((long) (seenFirst[entry][g] * 1e9));
                candidates.add(new GroupCandidate(
                        GroupId.of(g),
                        false,
                        outstanding[entry][g],
                        servers.get(g).reported(now),
                        first));
            }
            Optional<Router.Choice> choice = router.choose(candidates, "prefix " + prefix);
            return choice.map(c -> (int) c.group().value()).orElse(-1);
        }
    }
}
