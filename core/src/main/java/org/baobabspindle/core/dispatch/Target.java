package org.baobabspindle.core.dispatch;

import java.util.Optional;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.GroupKey;

/**
 * A destination of requests: a serving group, or one backend server of a plain service.
 *
 * @param key identifies the target in load counts; a group that is formed again is a new target with a new key
 * @param server the backend server that receives the requests; for a group, its head
 * @param group the group; empty for a plain service
 * @param slots the maximum number of requests that the target runs at the same time
 * @param pace the relative time that a request takes at this target; 1 for a plain service
 * @param batch predicts the effect of prompts on its batch; empty for a plain service and if the configuration does not
 *     state the parameters
 */
public record Target(
        String key,
        BackendServer server,
        Optional<GroupKey> group,
        int slots,
        double pace,
        Optional<BatchModel> batch) {
    /**
     * Creates a target without a model of its batch.
     *
     * @param key identifies the target in load counts
     * @param server the backend server that receives the requests
     * @param group the group; empty for a plain service
     * @param slots the maximum number of requests that the target runs at the same time
     * @param pace the relative time that a request takes at this target
     */
    public Target(String key, BackendServer server, Optional<GroupKey> group, int slots, double pace) {
        this(key, server, group, slots, pace, Optional.empty());
    }

    /**
     * Returns the target of a backend server of a plain service.
     *
     * @param server the backend server
     * @return the target
     */
    public static Target of(BackendServer server) {
        return new Target(server.id() + "/" + server.bornMillis(), server, Optional.empty(), server.slots(), 1);
    }
}
