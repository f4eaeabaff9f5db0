package org.baobabspindle.core.formation;

import java.time.Duration;
import java.util.Optional;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.GroupKey;
import org.baobabspindle.core.fleet.GroupMembership;
import org.baobabspindle.core.time.Moment;

/**
 * A group whose members have been ordered to join.
 *
 * @param plan the plan
 * @param startedAt the time at which the joins were first ordered
 */
record FormingGroup(GroupPlanner.Plan plan, Moment startedAt) {
    /**
     * Added to twice the planned join time before a group is abandoned, because concurrent loads share the weight
     * store.
     */
    private static final Duration JOIN_SLACK = Duration.ofSeconds(3);

    /**
     * Returns whether the group can still become ready: each member is healthy and either in this group, in no group,
     * or still in the group that it was in when the join was planned.
     */
    boolean canComplete(GroupKey key, Formation.View view, Moment now) {
        for (BackendServer m : plan.members()) {
            Optional<BackendServer> listed = view.engines().stream()
                    .filter(s -> s.lifetime().equals(m.lifetime()))
                    .findFirst();
            if (listed.isEmpty() || !listed.get().ready() || view.lost().contains(m.lifetime())) {
                return false;
            }
            Optional<GroupKey> current = listed.get().group().map(GroupMembership::key);
            boolean joined = current.equals(Optional.of(key));
            boolean unchanged = current.isEmpty() || current.equals(m.group().map(GroupMembership::key));
            if (!joined && !unchanged) {
                return false;
            }
        }
        Duration timeout = plan.readyAfter().multipliedBy(2).plus(JOIN_SLACK);
        return now.isBefore(startedAt.plus(timeout));
    }
}
