package org.baobabspindle.core.formation;

import java.util.Optional;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.GroupKey;
import org.baobabspindle.core.id.InstanceId;

/**
 * The names of groups. A name tells who the head is and where, so that a keeper that has just started can still reach a head
 * that is cut off from the list while its members are listed.
 */
final class GroupName {
    private static final String SEPARATOR = "_";
    private static final int PARTS = 5;

    private GroupName() {}

    /** Returns the key of a new group. */
    static GroupKey of(long epoch, BackendServer head) {
        String name = String.join(
                SEPARATOR,
                "g" + epoch,
                head.id().value(),
                head.host(),
                String.valueOf(head.port()),
                String.valueOf(head.bornMillis()));
        return new GroupKey(name, epoch);
    }

    /** Returns the head as a member of its group can tell it from the name; empty if another system named the group. */
    static Optional<BackendServer> head(GroupKey key, BackendServer member) {
        String[] parts = key.name().split(SEPARATOR, -1);
        if (parts.length != PARTS) {
            return Optional.empty();
        }
        try {
            return Optional.of(new BackendServer(
                    InstanceId.of(parts[1]),
                    member.service(),
                    parts[2],
                    Integer.parseInt(parts[3]),
                    member.zone(),
                    member.state(),
                    member.slots(),
                    Long.parseLong(parts[4]),
                    member.domain(),
                    member.model(),
                    Optional.empty(),
                    Optional.empty()));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
