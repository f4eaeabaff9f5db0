package org.baobabspindle.core.formation;

import java.util.Optional;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.GroupKey;
import org.baobabspindle.core.id.InstanceId;

/**
 * The names of groups. A name tells the model, and who the head is and where, so that a keeper that has just started can still reach a head
 * that is cut off from the list while its members are listed.
 */
final class GroupName {
    private static final String SEPARATOR = "_";
    private static final int PARTS = 6;

    private GroupName() {}

    /** Returns the key of a new group. */
    static GroupKey of(long epoch, BackendServer head, String model) {
        String name = String.join(
                SEPARATOR,
                "g" + epoch,
                head.id().value(),
                head.host(),
                String.valueOf(head.port()),
                String.valueOf(head.bornMillis()),
                model);
        return new GroupKey(name, epoch);
    }

    private static String[] parts(GroupKey key) {
        return key.name().split(SEPARATOR, PARTS);
    }

    /** Returns the model of a group; empty if another system named the group. */
    static Optional<String> model(GroupKey key) {
        String[] parts = parts(key);
        return parts.length == PARTS ? Optional.of(parts[PARTS - 1]) : Optional.empty();
    }

    /** Returns the head as a member of its group can tell it from the name; empty if another system named the group. */
    static Optional<BackendServer> head(GroupKey key, BackendServer member) {
        String[] parts = parts(key);
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
