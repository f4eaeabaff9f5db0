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

/**
 * Decides which hosts stage weights, and tracks the staging in progress, which engines do not report.
 *
 * <p>Staging loads the weights of a model from the weight store onto a host in advance, so that the engine on that host
 * can later join a group of the model within seconds.
 */
final class HostStaging {
    /** The loads that staging on serving hosts leaves to groups: the members of the largest group. */
    private static final int LOADS_RESERVED_FOR_GROUPS = 4;

    /** The maximum number of joining engines while serving hosts stage: the members of one small group. */
    private static final int MAX_JOINING_WHILE_STAGING = 2;

    /** Staging counts as failed after this many times the load time; concurrent loads share the weight store. */
    private static final int TIMEOUT_FACTOR = 3;

    /** How long a host is assumed to stage a model that is not known: the load time of the larger models. */
    private static final Duration UNKNOWN_STAGING_TIME = Duration.ofSeconds(16);

    /** The placeholder key of staging orders, which concern a host and no group. */
    private static final GroupKey NO_GROUP = new GroupKey("none", 0);

    /** The placeholder for a model that is not known, since another keeper ordered its staging. */
    private static final String UNKNOWN_MODEL = "";

    private final Map<BackendServer.Lifetime, Staging> inProgress = new HashMap<>();
    private final Map<BackendServer.Lifetime, String> stagedElsewhere = new HashMap<>();

    private record Staging(String model, Moment until) {
        static Staging of(EngineModel model, Moment now) {
            return new Staging(model.name(), now.plus(model.loadTime().multipliedBy(TIMEOUT_FACTOR)));
        }
    }

    /** Updates the staging in progress from the listed engines and from the orders of other keepers. */
    void update(Formation.View view, Moment now) {
        Map<BackendServer.Lifetime, BackendServer> listed = new HashMap<>();
        view.engines().forEach(s -> listed.put(s.lifetime(), s));
        inProgress.entrySet().removeIf(e -> isFinished(e.getValue().model(), listed.get(e.getKey())));
        stagedElsewhere.clear();
        view.stagedElsewhere().forEach((engine, model) -> {
            BackendServer s = listed.get(engine);
            if (isFinished(model, s) || inProgress.containsKey(engine)) {
                return;
            }
            Optional<EngineModel> known = view.profile().model(model);
            if (known.isPresent() && view.owns(s)) {
                inProgress.put(engine, Staging.of(known.get(), now));
            } else {
                stagedElsewhere.put(engine, model);
            }
        });
    }

    private static boolean isFinished(String model, BackendServer listed) {
        return listed == null || listed.staged().equals(Optional.of(model));
    }

    /** Returns the models that hosts are staging on this keeper's orders. */
    Map<BackendServer.Lifetime, String> inProgress(Moment now) {
        Map<BackendServer.Lifetime, String> result = new HashMap<>();
        inProgress.forEach((engine, staging) -> {
            if (now.isBefore(staging.until())) {
                result.put(engine, staging.model());
            }
        });
        return result;
    }

    /** Returns how many more concurrent loads the weight store can serve at full speed. */
    private int freeLoads(Formation.View view, Moment now) {
        return view.profile().maxConcurrentLoads() - inProgress(now).size() - stagedElsewhere.size();
    }

    /** Removes the staging of a host that did not start it. */
    void remove(BackendServer.Lifetime engine) {
        inProgress.remove(engine);
    }

    /** Records that a host refused to stage; it gets no further order until the given time. */
    void recordRefusal(BackendServer.Lifetime engine, Moment until) {
        inProgress.put(engine, new Staging(UNKNOWN_MODEL, until));
    }

    /** Records that a host may be staging a model that another keeper ordered. */
    void recordUnknownStaging(BackendServer.Lifetime engine, Moment now) {
        inProgress.put(engine, new Staging(UNKNOWN_MODEL, now.plus(UNKNOWN_STAGING_TIME)));
    }

    /**
     * Orders free engines to stage the weights that planned groups and spares need, with at most the given number of
     * loads. More loads than the weight store serves at full speed would delay each other and thereby every group.
     */
    List<FormationAction> ordersForFreeEngines(
            Formation.View view, List<FleetPlan.DomainPlan> domains, int loads, Moment now) {
        List<StagingPlanner.Batch> batches = new ArrayList<>();
        domains.forEach(d -> batches.addAll(StagingPlanner.plan(d)));
        // Before the first request loads are fast, so members load the weights when they join.
        batches.removeIf(b -> b.forGroup() && view.beforeRequests());
        batches.sort(Comparator.comparing((StagingPlanner.Batch b) -> !b.forGroup())
                .thenComparing(b -> b.servers().size()));
        List<FormationAction> actions = new ArrayList<>();
        int half = view.profile().maxConcurrentLoads() / 2;
        for (StagingPlanner.Batch b : batches) {
            List<BackendServer> idle = new ArrayList<>(b.servers());
            idle.removeIf(s -> modelInProgress(s.lifetime(), now).isPresent());
            // Members of a group start to load only once most of them can; loads for spares leave half of the capacity
            // free.
            int minFreeLoads = b.forGroup() ? Math.min(idle.size(), half) - 1 : half;
            for (BackendServer s : idle) {
                if (actions.size() >= loads || (!view.beforeRequests() && freeLoads(view, now) <= minFreeLoads)) {
                    break;
                }
                minFreeLoads = b.forGroup() ? 0 : half;
                inProgress.put(s.lifetime(), Staging.of(b.model(), now));
                String reason = b.forGroup() ? "a planned group needs the model" : "the engine is a spare";
                actions.add(new FormationAction.Stage(s, NO_GROUP, b.model().name(), reason));
            }
        }
        return actions;
    }

    /** Returns the models that hosts are staging on orders of any keeper. */
    Map<BackendServer.Lifetime, String> allInProgress(Moment now) {
        Map<BackendServer.Lifetime, String> result = new HashMap<>(stagedElsewhere);
        result.putAll(inProgress(now));
        return result;
    }

    /**
     * Orders hosts of serving groups to stage the models that too few hosts of their domain hold, so that the domain
     * can form a group of each model within seconds after engines are lost or all engines restart.
     */
    List<FormationAction> ordersForServingHosts(
            Formation.View view, List<FleetPlan.DomainPlan> domains, Set<BackendServer> bound, int loads, Moment now) {
        int max = view.beforeRequests() ? loads : spareLoads(view, loads, now);
        List<FormationAction> actions = new ArrayList<>();
        for (FleetPlan.DomainPlan d : domains) {
            DomainWeightInventory inventory =
                    new DomainWeightInventory(view.profile(), s -> modelInProgress(s.lifetime(), now));
            List<BackendServer> eligible = new ArrayList<>();
            for (DomainState.Group g : d.state().groups()) {
                g.members().forEach(inventory::count);
                g.members().stream()
                        .filter(s -> bound.contains(s) && canStage(view, s))
                        .forEach(eligible::add);
            }
            d.state().free().forEach(inventory::count);
            eligible.sort(Comparator.comparing(BackendServer::id));
            for (BackendServer s : eligible) {
                Optional<EngineModel> model =
                        modelInProgress(s.lifetime(), now).isEmpty() ? inventory.modelToStage(s) : Optional.empty();
                if (model.isPresent() && actions.size() < max) {
                    inventory.recordStaging(s, model.get());
                    inProgress.put(s.lifetime(), Staging.of(model.get(), now));
                    String reason = "too few hosts of the domain hold the model";
                    actions.add(
                            new FormationAction.Stage(s, NO_GROUP, model.get().name(), reason));
                }
            }
        }
        return actions;
    }

    private static boolean canStage(Formation.View view, BackendServer s) {
        boolean joined = s.group().filter(m -> m.state() != MemberState.JOINING).isPresent();
        return view.owns(s) && view.isHealthy(s) && joined && s.model().isPresent();
    }

    /**
     * Returns how many serving hosts may start to stage. Staging takes bandwidth of the weight store from engines
     * without weights, so it waits until there are none.
     */
    private int spareLoads(Formation.View view, int loads, Moment now) {
        long joining = view.engines().stream()
                .filter(s ->
                        s.group().filter(m -> m.state() == MemberState.JOINING).isPresent())
                .count();
        boolean staging = freeLoads(view, now) < view.profile().maxConcurrentLoads();
        boolean anyWithoutWeights = view.engines().stream()
                .anyMatch(s -> s.model().isEmpty() && s.staged().isEmpty());
        if (anyWithoutWeights || staging || joining > MAX_JOINING_WHILE_STAGING) {
            return 0;
        }
        return Math.min(1, loads - LOADS_RESERVED_FOR_GROUPS);
    }

    private Optional<String> modelInProgress(BackendServer.Lifetime engine, Moment now) {
        Staging staging = inProgress.get(engine);
        return staging != null && now.isBefore(staging.until())
                ? Optional.of(staging.model())
                : Optional.ofNullable(stagedElsewhere.get(engine));
    }
}
