package org.baobabspindle.core.dispatch;

import java.util.Optional;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.GroupKey;

/**
 * Something that requests can be sent to: a serving group or a backend server of a plain service.
 *
 * @param key names it in load counts; a group that is formed anew is another target
 * @param server the backend server that takes its requests; the head of a group
 * @param group the group; empty for a plain service
 * @param slots the requests it runs at the same time
 * @param pace the factor on its times
 */
public record Target(String key, BackendServer server, Optional<GroupKey> group, int slots, double pace) {
    /**
     * Returns the target of a plain backend server.
     *
     * @param server the backend server
     * @return the target
     */
    public static Target of(BackendServer server) {
        return new Target(server.id() + "/" + server.bornMillis(), server, Optional.empty(), server.slots(), 1);
    }
}
