package org.baobabspindle.core.formation;

import java.util.Optional;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.GroupKey;
import org.baobabspindle.core.id.InstanceId;

/**
 * Encodes and decodes group names. A name contains the model and the identity and address of the head, so that even a
 * keeper that has just started can reach a head that is no longer listed while members of its group are.
 */
final class GroupName {
    private static final String SEPARATOR = "_";
    private static final int PARTS = 6;

    private GroupName() {}

    /** Creates the key of a new group. */
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

    /** Returns the model in a group name; empty if the name was created by another system. */
    static Optional<String> model(GroupKey key) {
        String[] parts = parts(key);
        return parts.length == PARTS ? Optional.of(parts[PARTS - 1]) : Optional.empty();
    }

    /** Returns the head in a group name, with zone and domain of a member; empty if another system created the name. */
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
