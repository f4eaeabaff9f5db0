package org.baobabspindle.core.formation;

import java.time.Duration;
import java.util.Optional;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.GroupKey;
import org.baobabspindle.core.fleet.GroupMembership;
import org.baobabspindle.core.time.Moment;

/**
 * A group whose members have been told to join.
 *
 * @param plan the plan
 * @param startedAt when the joins were first ordered
 */
record Forming(GroupPlanner.Plan plan, Moment startedAt) {
    /** The time that a join may take beyond the one planned before the group is given up; loads share the store. */
    private static final Duration JOIN_SLACK = Duration.ofSeconds(3);

    /** Returns whether all members can still become ready: each is there and in this group, or still where it was. */
    boolean stillPossible(GroupKey key, Formation.View view, Moment now) {
        for (BackendServer m : plan.members()) {
            Optional<BackendServer> seen = view.engines().stream()
                    .filter(s -> s.lifetime().equals(m.lifetime()))
                    .findFirst();
            if (seen.isEmpty() || !seen.get().ready() || view.lost().contains(m.lifetime())) {
                return false;
            }
            Optional<GroupKey> current = seen.get().group().map(GroupMembership::key);
            boolean here = current.equals(Optional.of(key));
            boolean whereItWas = current.isEmpty() || current.equals(m.group().map(GroupMembership::key));
            if (!here && !whereItWas) {
                return false;
            }
        }
        Duration patience = plan.readyAfter().multipliedBy(2).plus(JOIN_SLACK);
        return now.isBefore(startedAt.plus(patience));
    }
}
