package org.baobabspindle.core.formation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.EngineModel;

/**
 * Estimates how long engines take to join a group. An engine is ready soonest in a group of the model of its last
 * group, and next in one of the model that is staged on its host; this favors the survivors of a group that has lost a
 * member.
 */
public final class GroupPlanner {
    /** The join time of an engine whose last group had the same model, as the engines document it. */
    private static final Duration REJOIN_TIME = Duration.ofMillis(200);

    private GroupPlanner() {}

    /**
     * A group to be formed.
     *
     * @param model the model
     * @param members the members; the first one is the head
     * @param readyAfter the time until all members are ready
     */
    public record Plan(EngineModel model, List<BackendServer> members, Duration readyAfter) {
        /** Copies the members. */
        public Plan {
            members = List.copyOf(members);
        }

        /** Creates a plan for members that join at the same time. */
        static Plan of(EngineModel model, List<BackendServer> members) {
            Duration last = Duration.ZERO;
            for (BackendServer s : members) {
                Duration join = joinTime(model, s);
                last = join.compareTo(last) > 0 ? join : last;
            }
            return new Plan(model, members, last);
        }

        /** Returns this plan with a head that is not cold, if there is such a member; the members stay the same. */
        Plan withWarmHead(Predicate<BackendServer> cold) {
            Optional<BackendServer> head =
                    members.stream().filter(cold.negate()).findFirst();
            if (head.isEmpty()) {
                return this;
            }
            List<BackendServer> reordered = new ArrayList<>(members);
            reordered.remove(head.get());
            reordered.add(0, head.get());
            return new Plan(model, reordered, readyAfter);
        }

        /** Returns the members that hold the weights neither from their last group nor on their host. */
        List<BackendServer> membersToLoad() {
            return members.stream()
                    .filter(s -> joinTime(model, s).equals(model.loadTime()))
                    .toList();
        }

        /**
         * Returns the number of loads from the weight store that the group needs.
         *
         * @return the number of members that hold the weights neither from their last group nor on their host
         */
        public int loadCount() {
            return membersToLoad().size();
        }
    }

    /**
     * Returns the time that an engine takes to become ready in a group of a model.
     *
     * @param model the model
     * @param server the engine
     * @return the time until it is ready
     */
    public static Duration joinTime(EngineModel model, BackendServer server) {
        if (server.model().equals(Optional.of(model.name()))) {
            return REJOIN_TIME;
        }
        return server.staged().equals(Optional.of(model.name())) ? model.warmJoinTime() : model.loadTime();
    }
}
