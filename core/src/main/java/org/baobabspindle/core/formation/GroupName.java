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
    private static final char PREFIX = 'g';
    private static final String SEPARATOR = "_";

    /** What follows the identifier of the head: its IP address, its port, its start and the model. */
    private static final int PARTS_AFTER_ID = 4;

    private GroupName() {}

    /** Creates the key of a new group. */
    static GroupKey of(long epoch, BackendServer head, String model) {
        String name = String.join(
                SEPARATOR,
                PREFIX + String.valueOf(epoch),
                head.id().value(),
                head.host(),
                String.valueOf(head.port()),
                String.valueOf(head.bornMillis()),
                model);
        return new GroupKey(name, epoch);
    }

    private record Parts(InstanceId id, String host, int port, long bornMillis, String model) {}

    /**
     * Parses a name. The identifier and the model may contain separators; the identifier ends where the parts that follow it
     * have their form.
     */
    private static Optional<Parts> parse(String name) {
        int idStart = name.indexOf(SEPARATOR) + 1;
        if (idStart == 0 || name.charAt(0) != PREFIX) {
            return Optional.empty();
        }
        for (int end = name.indexOf(SEPARATOR, idStart + 1); end > 0; end = name.indexOf(SEPARATOR, end + 1)) {
            String[] rest = name.substring(end + 1).split(SEPARATOR, PARTS_AFTER_ID);
            if (rest.length < PARTS_AFTER_ID) {
                return Optional.empty();
            }
            boolean isAddress = rest[0].indexOf('.') >= 0 || rest[0].indexOf(':') >= 0;
            if (isAddress && !rest[3].isEmpty()) {
                try {
                    InstanceId id = InstanceId.of(name.substring(idStart, end));
                    return Optional.of(
                            new Parts(id, rest[0], Integer.parseInt(rest[1]), Long.parseLong(rest[2]), rest[3]));
                } catch (IllegalArgumentException e) {
                    // The identifier contains this separator.
                }
            }
        }
        return Optional.empty();
    }

    /** Returns the model in a group name; empty if the name was created by another system. */
    static Optional<String> model(GroupKey key) {
        return parse(key.name()).map(Parts::model);
    }

    /** Returns the head in a group name, with zone and domain of a member; empty if another system created the name. */
    static Optional<BackendServer> head(GroupKey key, BackendServer member) {
        try {
            return parse(key.name())
                    .map(p -> new BackendServer(
                            p.id(),
                            member.service(),
                            p.host(),
                            p.port(),
                            member.zone(),
                            member.state(),
                            member.slots(),
                            p.bornMillis(),
                            member.domain(),
                            member.model(),
                            Optional.empty(),
                            Optional.empty()));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
