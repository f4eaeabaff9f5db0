package org.baobabspindle.port;

import java.util.List;
import org.baobabspindle.core.fleet.GroupKey;
import org.baobabspindle.core.id.InstanceId;

/** An order to a model engine. */
public sealed interface EngineOrder {
    /**
     * Joins a group as the member whose rank is its place in the list.
     *
     * @param group the group
     * @param model the model of the group
     * @param members all members; the first one is the head
     */
    record Join(GroupKey group, String model, List<InstanceId> members) implements EngineOrder {
        /** Copies the members. */
        public Join {
            members = List.copyOf(members);
        }
    }

    /**
     * Begins to serve; sent to the head.
     *
     * @param group the group
     */
    record Open(GroupKey group) implements EngineOrder {}

    /**
     * Takes no new requests and finishes those that run; sent to the head.
     *
     * @param group the group
     */
    record Close(GroupKey group) implements EngineOrder {}

    /**
     * Loads the weights of a model onto the host, beside all other work.
     *
     * @param model the model
     */
    record Stage(String model) implements EngineOrder {}

    /**
     * Leaves the group at once.
     *
     * @param group the group
     */
    record Leave(GroupKey group) implements EngineOrder {}
}
