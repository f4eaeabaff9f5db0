package org.baobabspindle.lab;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.EngineModel;
import org.baobabspindle.core.fleet.EngineProfile;
import org.baobabspindle.core.fleet.GroupKey;
import org.baobabspindle.core.fleet.GroupMembership;
import org.baobabspindle.core.fleet.MemberState;
import org.baobabspindle.core.fleet.PlanPolicy;
import org.baobabspindle.core.formation.Formation;
import org.baobabspindle.core.formation.FormationAction;
import org.baobabspindle.core.formation.GroupView;
import org.baobabspindle.core.formation.ModelDemand;
import org.baobabspindle.core.id.FabricDomain;
import org.baobabspindle.core.time.Moment;

/** A simulated fleet whose groups are formed by the gateway's own formation code while its engines fail. */
final class FormationFleet {
    static final Duration TICK = Duration.ofMillis(100);

    /** The time before traffic, during which loads are fast and no engine fails. */
    private static final Duration WARMUP = Duration.ofSeconds(15);

    /** The time from the loss of an engine to its detection, after which its replacement takes REPLACEMENT_DELAY. */
    private static final Duration DETECTION_DELAY = Duration.ofMillis(500);

    private static final Duration REPLACEMENT_DELAY = Duration.ofSeconds(5);
    private static final Duration DOMAIN_OUTAGE = Duration.ofSeconds(8);
    private static final double WARMUP_LOAD_FACTOR = 0.1;

    private final EngineProfile profile;
    private final Map<String, Double> demand;
    private final PlanPolicy policy;
    private final Random random;
    private final Formation formation = new Formation();
    private final List<FormationEngine> engines = new ArrayList<>();
    private final Map<String, Double> coverageSums = new HashMap<>();
    private Moment now = new Moment(0, 0);
    private long epochs;
    private int ticks;
    private int engineLosses;
    private int loads;
    private int conversions;
    private double minCoverage = 1;
    private long decisionNanos;
    private long maxDecisionNanos;
    private int decisions;

    /**
     * Creates a fleet.
     *
     * @param profile the engine profile with the models
     * @param domains the number of fabric domains
     * @param enginesPerDomain the number of engines in each domain
     * @param demand the wanted slots by model
     * @param policy the weights of the planner's objectives
     * @param seed the random seed of the losses
     */
    FormationFleet(
            EngineProfile profile,
            int domains,
            int enginesPerDomain,
            Map<String, Double> demand,
            PlanPolicy policy,
            long seed) {
        this.profile = profile;
        this.demand = Map.copyOf(demand);
        this.policy = policy;
        this.random = new Random(seed);
        for (int i = 0; i < domains * enginesPerDomain; i++) {
            engines.add(new FormationEngine(FabricDomain.of("d" + i / enginesPerDomain), i, profile.slots()));
        }
    }

    /**
     * The result of a run.
     *
     * @param meanCoverage the mean share of each model's demand that serving groups had slots for
     * @param minCoverage the lowest share of covered demand in any second, averaged over the models
     * @param losses the number of joined members lost, without those of the domain outage
     * @param loads the number of weight loads after the start of traffic
     * @param conversions the number of groups that were closed for another model
     * @param meanDecision the mean duration of a decision
     * @param maxDecision the longest duration of a decision
     */
    record Outcome(
            Map<String, Double> meanCoverage,
            double minCoverage,
            int losses,
            int loads,
            int conversions,
            Duration meanDecision,
            Duration maxDecision) {}

    /**
     * Runs the fleet through its warm-up and the given time with traffic.
     *
     * @param duration the time with traffic
     * @param lossInterval the mean time between losses of joined members; zero for none
     * @param outageAt when a whole domain fails, from the start of traffic; empty for never
     * @return the result
     */
    Outcome run(Duration duration, Duration lossInterval, Optional<Duration> outageAt) {
        Moment trafficStart = now.plus(WARMUP);
        Moment end = trafficStart.plus(duration);
        double coverageOfSecond = 0;
        while (now.isBefore(end)) {
            now = now.plus(TICK);
            boolean serving = !now.isBefore(trafficStart);
            if (serving) {
                injectFailures(lossInterval, outageAt.map(trafficStart::plus));
            }
            engines.forEach(e -> e.advance(now));
            decide(!serving);
            if (serving) {
                coverageOfSecond += measureCoverage() / 10;
                if (ticks % 10 == 0) {
                    minCoverage = Math.min(minCoverage, coverageOfSecond);
                    coverageOfSecond = 0;
                }
            }
        }
        Map<String, Double> means = new HashMap<>();
        coverageSums.forEach((m, sum) -> means.put(m, sum / ticks));
        return new Outcome(
                means,
                minCoverage,
                engineLosses,
                loads,
                conversions,
                Duration.ofNanos(decisionNanos / Math.max(1, decisions)),
                Duration.ofNanos(maxDecisionNanos));
    }

    private void injectFailures(Duration lossInterval, Optional<Moment> outageAt) {
        if (!lossInterval.isZero() && random.nextDouble() < (double) TICK.toMillis() / lossInterval.toMillis()) {
            List<FormationEngine> joined =
                    engines.stream().filter(e -> e.group().isPresent()).toList();
            if (!joined.isEmpty()) {
                joined.get(random.nextInt(joined.size()))
                        .fail(now.plus(DETECTION_DELAY).plus(REPLACEMENT_DELAY));
                engineLosses++;
            }
        }
        if (outageAt.isPresent() && now.since(outageAt.get()).isZero()) {
            FabricDomain failed = engines.get(0).domain();
            engines.stream()
                    .filter(e -> e.domain().equals(failed) && e.isUp())
                    .forEach(e -> e.fail(now.plus(DOMAIN_OUTAGE)));
        }
    }

    private void decide(boolean warmup) {
        Map<BackendServer, FormationEngine> listed = new HashMap<>();
        List<BackendServer> servers = new ArrayList<>();
        for (FormationEngine e : engines) {
            if (e.isUp()) {
                BackendServer s = e.toBackendServer();
                listed.put(s, e);
                servers.add(s);
            }
        }
        ModelDemand wanted = warmup ? ModelDemand.expected(profile, servers.size()) : ModelDemand.of(demand);
        Formation.View view = new Formation.View(
                profile,
                servers,
                Set.of(),
                d -> true,
                wanted,
                () -> ++epochs,
                Map.of(),
                policy,
                warmup ? servers.size() : profile.maxConcurrentLoads(),
                warmup);
        long start = System.nanoTime();
        List<FormationAction> actions = formation.decide(view, now);
        long nanos = System.nanoTime() - start;
        decisions++;
        decisionNanos += nanos;
        maxDecisionNanos = Math.max(maxDecisionNanos, nanos);
        for (FormationAction a : actions) {
            FormationEngine e = listed.get(a.server());
            if (e != null) {
                apply(a, e, warmup);
            } else if (a instanceof FormationAction.Leave) {
                // The head has failed, so it cannot report that it left.
                formation.headLeft(a.key(), now);
            }
        }
    }

    private void apply(FormationAction action, FormationEngine engine, boolean warmup) {
        double loadFactor =
                warmup ? WARMUP_LOAD_FACTOR : Math.max(1, (double) concurrentLoads() / profile.maxConcurrentLoads());
        boolean loadsWeights = false;
        if (action instanceof FormationAction.Join j) {
            EngineModel model = profile.model(j.model()).orElseThrow();
            loadsWeights = engine.join(j.key(), j.members().indexOf(j.server()), model, loadFactor, now);
        } else if (action instanceof FormationAction.Open) {
            engine.open(profile.headOpenTime(), now);
        } else if (action instanceof FormationAction.Close) {
            engine.close(now);
            conversions++;
        } else if (action instanceof FormationAction.Leave) {
            engine.leave();
            formation.headLeft(action.key(), now);
        } else if (action instanceof FormationAction.Stage s) {
            engine.stage(profile.model(s.model()).orElseThrow(), loadFactor, now);
            loadsWeights = true;
        }
        loads += loadsWeights && !warmup ? 1 : 0;
    }

    private long concurrentLoads() {
        return 1 + engines.stream().filter(FormationEngine::staging).count();
    }

    /** Adds the covered share of each model's demand to the sums; returns the mean over the models. */
    private double measureCoverage() {
        Map<String, Integer> slots = new HashMap<>();
        Set<GroupKey> serving = new HashSet<>();
        List<BackendServer> servers = engines.stream()
                .filter(FormationEngine::isUp)
                .map(FormationEngine::toBackendServer)
                .toList();
        for (GroupView g : GroupView.all(servers)) {
            Optional<EngineModel> model = g.model().flatMap(profile::model);
            boolean open = g.head()
                    .flatMap(BackendServer::group)
                    .map(GroupMembership::state)
                    .equals(Optional.of(MemberState.OPEN));
            if (open
                    && model.isPresent()
                    && g.isComplete(model.get().groupSize(), BackendServer::ready)
                    && serving.add(g.key())) {
                slots.merge(model.get().name(), profile.slots(), Integer::sum);
            }
        }
        ticks++;
        double sum = 0;
        for (Map.Entry<String, Double> wanted : demand.entrySet()) {
            double share = Math.min(1, slots.getOrDefault(wanted.getKey(), 0) / wanted.getValue());
            coverageSums.merge(wanted.getKey(), share, Double::sum);
            sum += share / demand.size();
        }
        return sum;
    }
}
