package org.baobabspindle.core.formation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.EngineModel;
import org.baobabspindle.core.fleet.GroupKey;
import org.baobabspindle.core.fleet.MemberState;
import org.baobabspindle.core.time.Moment;

/** Decides which hosts stage weights, and remembers which of them are at it: an engine does not report that. */
final class HostStaging {
    /** Loads that staging leaves for groups; the members of the largest one. */
    private static final int LOADS_KEPT_FOR_GROUPS = 4;

    /** The engines that may be joining while serving hosts stage; the members of one small group. */
    private static final int MOST_JOINING_BESIDE_STAGING = 2;

    /** Loads share the weight store; one that takes this many times its usual time has failed. */
    private static final int PATIENCE = 3;

    /** How long a host that stages is taken to need the weight store; a load of the larger models. */
    private static final Duration STAGING_TIME = Duration.ofSeconds(16);

    /** Staging concerns a host and no group; its order names none. */
    private static final GroupKey NO_GROUP = new GroupKey("none", 0);

    /** Stands for a model that another keeper has chosen. */
    private static final String UNKNOWN_MODEL = "";

    private final Map<BackendServer.Lifetime, UnderWay> underWay = new HashMap<>();
    private final Map<BackendServer.Lifetime, String> elsewhere = new HashMap<>();

    private record UnderWay(String model, Moment until) {
        static UnderWay of(EngineModel model, Moment now) {
            return new UnderWay(model.name(), now.plus(model.loadTime().multipliedBy(PATIENCE)));
        }
    }

    /** Brings what is known up to date with the list of engines and with what other keepers have ordered. */
    void update(Formation.View view, Moment now) {
        Map<BackendServer.Lifetime, BackendServer> listed = new HashMap<>();
        view.engines().forEach(s -> listed.put(s.lifetime(), s));
        underWay.entrySet().removeIf(e -> done(e.getValue().model(), listed.get(e.getKey())));
        elsewhere.clear();
        view.stagedElsewhere().forEach((engine, model) -> {
            BackendServer s = listed.get(engine);
            if (done(model, s) || underWay.containsKey(engine)) {
                return;
            }
            Optional<EngineModel> known = view.profile().model(model);
            if (known.isPresent() && view.owns(s)) {
                underWay.put(engine, UnderWay.of(known.get(), now));
            } else {
                elsewhere.put(engine, model);
            }
        });
    }

    private static boolean done(String model, BackendServer listed) {
        return listed == null || listed.staged().equals(Optional.of(model));
    }

    /** Returns the models that hosts stage on this keeper's orders. */
    Map<BackendServer.Lifetime, String> underWay(Moment now) {
        Map<BackendServer.Lifetime, String> result = new HashMap<>();
        underWay.forEach((engine, u) -> {
            if (now.isBefore(u.until())) {
                result.put(engine, u.model());
            }
        });
        return result;
    }

    /** Returns how many more loads the weight store serves at full speed. */
    private int room(Formation.View view, Moment now) {
        return view.profile().maxConcurrentLoads() - underWay(now).size() - elsewhere.size();
    }

    /** Forgets that a host stages, because it did not begin to. */
    void forget(BackendServer.Lifetime engine) {
        underWay.remove(engine);
    }

    /** Leaves a host that refused to stage alone for a while. */
    void refused(BackendServer.Lifetime engine, Moment until) {
        underWay.put(engine, new UnderWay(UNKNOWN_MODEL, until));
    }

    /** Notes that a host stages what another keeper has ordered. */
    void unknownUnderWay(BackendServer.Lifetime engine, Moment now) {
        underWay.put(engine, new UnderWay(UNKNOWN_MODEL, now.plus(STAGING_TIME)));
    }

    /**
     * Has free engines stage what the plan lacks; at most as many as loads may begin. Loads beyond those that the weight store
     * serves at full speed would delay each other, and with them every group.
     */
    List<FormationAction> ofFreeEngines(
            Formation.View view, List<FleetPlan.DomainPlan> domains, int loads, Moment now) {
        List<StagingPlanner.Batch> batches = new ArrayList<>();
        domains.forEach(d -> batches.addAll(StagingPlanner.plan(d)));
        // Members load when they join as long as loads are fast.
        batches.removeIf(b -> b.forGroup() && view.beforeRequests());
        batches.sort(Comparator.comparing((StagingPlanner.Batch b) -> !b.forGroup())
                .thenComparing(b -> b.servers().size()));
        List<FormationAction> actions = new ArrayList<>();
        int half = view.profile().maxConcurrentLoads() / 2;
        for (StagingPlanner.Batch b : batches) {
            List<BackendServer> idle = new ArrayList<>(b.servers());
            idle.removeIf(s -> stagingNow(s.lifetime(), now).isPresent());
            // A group begins to load once most of it can; loads for no group leave half of the weight store to others.
            int leftFree = b.forGroup() ? Math.min(idle.size(), half) - 1 : half;
            for (BackendServer s : idle) {
                if (actions.size() >= loads || (!view.beforeRequests() && room(view, now) <= leftFree)) {
                    break;
                }
                leftFree = b.forGroup() ? 0 : half;
                underWay.put(s.lifetime(), UnderWay.of(b.model(), now));
                String reason = b.forGroup() ? "its domain lacks the model" : "it is a spare";
                actions.add(new FormationAction.Stage(s, NO_GROUP, b.model().name(), reason));
            }
        }
        return actions;
    }

    /** Returns the models that hosts stage, on orders of any keeper. */
    Map<BackendServer.Lifetime, String> all(Moment now) {
        Map<BackendServer.Lifetime, String> result = new HashMap<>(elsewhere);
        result.putAll(underWay(now));
        return result;
    }

    /**
     * Has hosts of serving groups stage what their domain lacks, so that it can form a group of each model again within
     * seconds when engines are lost or all start anew.
     */
    List<FormationAction> ofServingHosts(
            Formation.View view, List<FleetPlan.DomainPlan> domains, Set<BackendServer> bound, int loads, Moment now) {
        int most = view.beforeRequests() ? loads : spareLoads(view, loads, now);
        List<FormationAction> actions = new ArrayList<>();
        for (FleetPlan.DomainPlan d : domains) {
            DomainStock stock = new DomainStock(view.profile(), s -> stagingNow(s.lifetime(), now));
            List<BackendServer> settled = new ArrayList<>();
            for (DomainState.Group g : d.state().groups()) {
                g.members().forEach(stock::count);
                g.members().stream()
                        .filter(s -> bound.contains(s) && settled(view, s))
                        .forEach(settled::add);
            }
            d.state().free().forEach(stock::count);
            settled.sort(Comparator.comparing(BackendServer::id));
            for (BackendServer s : settled) {
                Optional<EngineModel> model =
                        stagingNow(s.lifetime(), now).isEmpty() ? stock.wanted(s) : Optional.empty();
                if (model.isPresent() && actions.size() < most) {
                    stock.replace(s, model.get());
                    underWay.put(s.lifetime(), UnderWay.of(model.get(), now));
                    String reason = "the hosts of its domain hold too little of the model";
                    actions.add(
                            new FormationAction.Stage(s, NO_GROUP, model.get().name(), reason));
                }
            }
        }
        return actions;
    }

    private static boolean settled(Formation.View view, BackendServer s) {
        boolean joined = s.group().filter(m -> m.state() != MemberState.JOINING).isPresent();
        return view.owns(s) && view.sound(s) && joined && s.model().isPresent();
    }

    /** Staging takes bandwidth of the weight store from engines without weights, so it waits until there are none. */
    private int spareLoads(Formation.View view, int loads, Moment now) {
        long joining = view.engines().stream()
                .filter(s ->
                        s.group().filter(m -> m.state() == MemberState.JOINING).isPresent())
                .count();
        boolean stages = room(view, now) < view.profile().maxConcurrentLoads();
        boolean emptyOnes = view.engines().stream()
                .anyMatch(s -> s.model().isEmpty() && s.staged().isEmpty());
        if (emptyOnes || stages || joining > MOST_JOINING_BESIDE_STAGING) {
            return 0;
        }
        return Math.min(1, loads - LOADS_KEPT_FOR_GROUPS);
    }

    private Optional<String> stagingNow(BackendServer.Lifetime engine, Moment now) {
        UnderWay u = underWay.get(engine);
        return u != null && now.isBefore(u.until())
                ? Optional.of(u.model())
                : Optional.ofNullable(elsewhere.get(engine));
    }
}
