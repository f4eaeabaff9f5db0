package org.baobabspindle.core.formation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.EngineModel;
import org.baobabspindle.core.fleet.EngineProfile;

/**
 * Decides what the free engines of one fabric domain become. Answers losses that leave parts of groups behind: the model
 * that is short is formed first, from the engines that are ready soonest. No engine waits in a group for another one that
 * loads weights from the weight store: an engine without weights stages them first.
 */
public final class GroupPlanner {
    /** A join by an engine whose last group had the same model; the engines' documented figure. */
    private static final Duration REJOIN = Duration.ofMillis(200);

    /** Weighs need against time: a group that comes in this time is worth half of one that comes at once. */
    private static final Duration PATIENCE = Duration.ofSeconds(4);

    /** Engines load ten times as fast before the first request. */
    private static final double EARLY_LOAD_FACTOR = 0.1;

    private GroupPlanner() {}

    /**
     * A group to form.
     *
     * @param model its model
     * @param members its members; the first one is the head
     * @param readyAfter the time until all members are ready
     */
    public record Plan(EngineModel model, List<BackendServer> members, Duration readyAfter) {
        /** Copies the members. */
        public Plan {
            members = List.copyOf(members);
        }

        /**
         * Counts the loads from the weight store that the group begins.
         *
         * @return the members that hold the weights neither in their last group nor on their host
         */
        public int loads() {
            int loads = 0;
            for (BackendServer s : members) {
                loads += joinTime(model, s).equals(model.loadTime()) ? 1 : 0;
            }
            return loads;
        }
    }

    /**
     * Chooses the next group.
     *
     * @param profile the engines
     * @param free the free engines of one domain
     * @param groups the groups of each model that serve or are being formed, over all domains
     * @param demand the demand for each model
     * @param loadsFast whether loads are fast, as before the first request; else only engines that need none are used
     * @return the group to form; empty if the free engines suffice for none
     */
    public static Optional<Plan> next(
            EngineProfile profile,
            List<BackendServer> free,
            Map<String, Integer> groups,
            ModelDemand demand,
            boolean loadsFast) {
        Plan best = null;
        double bestScore = 0;
        for (EngineModel m : profile.models()) {
            if (free.size() < m.groupSize()) {
                continue;
            }
            Plan plan = plan(m, free);
            if (!loadsFast && plan.readyAfter().equals(m.loadTime())) {
                continue;
            }
            double score = need(profile, m, groups, demand) * haste(plan.readyAfter(), loadsFast);
            if (score > bestScore) {
                best = plan;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Plans a group of a stated model.
     *
     * @param model the model
     * @param free the free engines of one domain, at least as many as the group needs
     * @return the group of the engines that are ready soonest
     */
    static Plan plan(EngineModel model, List<BackendServer> free) {
        List<BackendServer> soonest = new ArrayList<>(free);
        soonest.sort(
                Comparator.comparing((BackendServer s) -> joinTime(model, s)).thenComparing(BackendServer::id));
        List<BackendServer> members = soonest.subList(0, model.groupSize());
        return new Plan(model, members, joinTime(model, members.get(members.size() - 1)));
    }

    /**
     * Chooses the model that an engine without weights should stage.
     *
     * @param profile the engines
     * @param groups the groups of each model that serve or are being formed, over all domains
     * @param demand the demand for each model
     * @return the model whose slots are needed most for the time that the weight store spends on them; empty if there is none
     */
    public static Optional<EngineModel> worthStaging(
            EngineProfile profile, Map<String, Integer> groups, ModelDemand demand) {
        return profile.models().stream()
                .max(Comparator.comparingDouble((EngineModel m) -> need(profile, m, groups, demand)
                        / (m.groupSize() * m.loadTime().toMillis())));
    }

    /**
     * Returns the time until an engine is ready in a group of a model.
     *
     * @param model the model
     * @param server the engine
     * @return the time
     */
    public static Duration joinTime(EngineModel model, BackendServer server) {
        if (server.model().equals(Optional.of(model.name()))) {
            return REJOIN;
        }
        return server.staged().equals(Optional.of(model.name())) ? model.warmTime() : model.loadTime();
    }

    /** The demand for each slot there is; one group more than there are, so that a model without groups is comparable. */
    static double need(EngineProfile profile, EngineModel model, Map<String, Integer> groups, ModelDemand demand) {
        int slots = (groups.getOrDefault(model.name(), 0) + 1) * profile.slots();
        return demand.slots(model.name()) / slots;
    }

    private static double haste(Duration readyAfter, boolean loadsFast) {
        double factor = loadsFast ? EARLY_LOAD_FACTOR : 1;
        return PATIENCE.toMillis() / (PATIENCE.toMillis() + readyAfter.toMillis() * factor);
    }
}
