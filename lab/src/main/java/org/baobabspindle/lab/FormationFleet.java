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

/** A simulated fleet whose groups are kept by the decisions that the gateway uses, while its engines are lost. */
final class FormationFleet {
    static final Duration TICK = Duration.ofMillis(100);

    /** The time before traffic, in which loads are fast and nothing is lost. */
    private static final Duration BEFORE_TRAFFIC = Duration.ofSeconds(15);

    /** The time until a loss is known, and until a lost engine's place is taken by a new one. */
    private static final Duration NOTICED_AFTER = Duration.ofMillis(500);

    private static final Duration REPLACED_AFTER = Duration.ofSeconds(5);
    private static final Duration DARK_FOR = Duration.ofSeconds(8);
    private static final double EARLY_LOADS = 0.1;

    private final EngineProfile profile;
    private final Map<String, Double> demand;
    private final PlanPolicy policy;
    private final Random random;
    private final Formation formation = new Formation();
    private final List<FormationEngine> engines = new ArrayList<>();
    private final Map<String, Double> covered = new HashMap<>();
    private Moment now = new Moment(0, 0);
    private long epochs;
    private int ticks;
    private int losses;
    private int loads;
    private int conversions;
    private double worst = 1;
    private long decisionNanos;
    private long longestNanos;
    private int decisions;

    /**
     * Creates a fleet.
     *
     * @param profile the engines and their models
     * @param domains the fabric domains
     * @param perDomain the engines of each
     * @param demand the slots wanted, by model
     * @param policy what is weighed against each other
     * @param seed the seed of the losses
     */
    FormationFleet(
            EngineProfile profile,
            int domains,
            int perDomain,
            Map<String, Double> demand,
            PlanPolicy policy,
            long seed) {
        this.profile = profile;
        this.demand = Map.copyOf(demand);
        this.policy = policy;
        this.random = new Random(seed);
        for (int i = 0; i < domains * perDomain; i++) {
            engines.add(new FormationEngine(FabricDomain.of("d" + i / perDomain), i, profile.slots()));
        }
    }

    /**
     * What a run came to.
     *
     * @param covered the mean share of its demand that each model had slots for
     * @param worst the lowest mean over the models in any second
     * @param losses the engines lost
     * @param loads the loads of weights after the first request
     * @param conversions the groups that were closed for another model
     * @param meanDecision the mean time of a decision
     * @param longestDecision the longest time of one
     */
    record Outcome(
            Map<String, Double> covered,
            double worst,
            int losses,
            int loads,
            int conversions,
            Duration meanDecision,
            Duration longestDecision) {}

    /**
     * Runs the fleet.
     *
     * @param time the time with traffic
     * @param lossEvery the mean time between losses of joined members; zero for none
     * @param darkAt when a whole domain goes dark; empty for never
     * @return what it came to
     */
    Outcome run(Duration time, Duration lossEvery, Optional<Duration> darkAt) {
        Moment traffic = now.plus(BEFORE_TRAFFIC);
        Moment end = traffic.plus(time);
        double second = 0;
        while (now.isBefore(end)) {
            now = now.plus(TICK);
            boolean serving = !now.isBefore(traffic);
            if (serving) {
                fail(lossEvery, darkAt.map(traffic::plus));
            }
            engines.forEach(e -> e.advance(now));
            decide(!serving);
            if (serving) {
                second += measure() / 10;
                if (ticks % 10 == 0) {
                    worst = Math.min(worst, second);
                    second = 0;
                }
            }
        }
        Map<String, Double> means = new HashMap<>();
        covered.forEach((m, sum) -> means.put(m, sum / ticks));
        return new Outcome(
                means,
                worst,
                losses,
                loads,
                conversions,
                Duration.ofNanos(decisionNanos / Math.max(1, decisions)),
                Duration.ofNanos(longestNanos));
    }

    private void fail(Duration lossEvery, Optional<Moment> darkAt) {
        if (!lossEvery.isZero() && random.nextDouble() < (double) TICK.toMillis() / lossEvery.toMillis()) {
            List<FormationEngine> joined =
                    engines.stream().filter(e -> e.group().isPresent()).toList();
            if (!joined.isEmpty()) {
                joined.get(random.nextInt(joined.size()))
                        .lose(now.plus(NOTICED_AFTER).plus(REPLACED_AFTER));
                losses++;
            }
        }
        if (darkAt.isPresent() && now.since(darkAt.get()).isZero()) {
            FabricDomain dark = engines.get(0).domain();
            engines.stream().filter(e -> e.domain().equals(dark) && e.up()).forEach(e -> e.lose(now.plus(DARK_FOR)));
        }
    }

    private void decide(boolean early) {
        Map<BackendServer, FormationEngine> listed = new HashMap<>();
        List<BackendServer> servers = new ArrayList<>();
        for (FormationEngine e : engines) {
            if (e.up()) {
                BackendServer s = e.listed();
                listed.put(s, e);
                servers.add(s);
            }
        }
        ModelDemand wanted = early ? ModelDemand.expected(profile, servers.size()) : ModelDemand.of(demand);
        Formation.View view = new Formation.View(
                profile,
                servers,
                Set.of(),
                d -> true,
                wanted,
                () -> ++epochs,
                Map.of(),
                policy,
                early ? servers.size() : profile.maxConcurrentLoads(),
                early);
        long begun = System.nanoTime();
        List<FormationAction> actions = formation.decide(view, now);
        long taken = System.nanoTime() - begun;
        decisions++;
        decisionNanos += taken;
        longestNanos = Math.max(longestNanos, taken);
        for (FormationAction a : actions) {
            FormationEngine e = listed.get(a.server());
            if (e != null) {
                carryOut(a, e, early);
            } else if (a instanceof FormationAction.Leave) {
                // The head is gone, and nothing answers in its place.
                formation.headLeft(a.key(), now);
            }
        }
    }

    private void carryOut(FormationAction action, FormationEngine engine, boolean early) {
        double factor = early ? EARLY_LOADS : Math.max(1, (double) loading() / profile.maxConcurrentLoads());
        boolean load = false;
        if (action instanceof FormationAction.Join j) {
            EngineModel model = profile.model(j.model()).orElseThrow();
            load = engine.join(j.key(), j.members().indexOf(j.server()), model, factor, now);
        } else if (action instanceof FormationAction.Open) {
            engine.open(profile.headOpenTime(), now);
        } else if (action instanceof FormationAction.Close) {
            engine.close(now);
            conversions++;
        } else if (action instanceof FormationAction.Leave) {
            engine.leave();
            formation.headLeft(action.key(), now);
        } else if (action instanceof FormationAction.Stage s) {
            engine.stage(profile.model(s.model()).orElseThrow(), factor, now);
            load = true;
        }
        loads += load && !early ? 1 : 0;
    }

    private long loading() {
        return 1 + engines.stream().filter(FormationEngine::staging).count();
    }

    private double measure() {
        Map<String, Integer> slots = new HashMap<>();
        Set<GroupKey> whole = new HashSet<>();
        List<BackendServer> servers = engines.stream()
                .filter(FormationEngine::up)
                .map(FormationEngine::listed)
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
                    && whole.add(g.key())) {
                slots.merge(model.get().name(), profile.slots(), Integer::sum);
            }
        }
        ticks++;
        double sum = 0;
        for (Map.Entry<String, Double> wanted : demand.entrySet()) {
            double share = Math.min(1, slots.getOrDefault(wanted.getKey(), 0) / wanted.getValue());
            covered.merge(wanted.getKey(), share, Double::sum);
            sum += share / demand.size();
        }
        return sum;
    }
}
