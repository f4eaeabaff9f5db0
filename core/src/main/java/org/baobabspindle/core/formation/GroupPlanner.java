package org.baobabspindle.core.formation;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.EngineModel;

/**
 * The members of single groups. Answers losses that leave parts of groups behind: an engine joins the model of its last group
 * soonest, then one that its host holds.
 */
public final class GroupPlanner {
    /** A join by an engine whose last group had the same model; the engines' documented figure. */
    private static final Duration REJOIN = Duration.ofMillis(200);

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

        /** Plans a group whose members join at once. */
        static Plan of(EngineModel model, List<BackendServer> members) {
            Duration last = Duration.ZERO;
            for (BackendServer s : members) {
                Duration join = joinTime(model, s);
                last = join.compareTo(last) > 0 ? join : last;
            }
            return new Plan(model, members, last);
        }

        /** Returns the members that hold the weights neither in their last group nor on their host. */
        List<BackendServer> lacking() {
            return members.stream()
                    .filter(s -> joinTime(model, s).equals(model.loadTime()))
                    .toList();
        }

        /**
         * Counts the loads from the weight store that the group begins.
         *
         * @return the members that hold the weights neither in their last group nor on their host
         */
        public int loadCount() {
            return lacking().size();
        }
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
        return server.staged().equals(Optional.of(model.name())) ? model.warmJoinTime() : model.loadTime();
    }
}
