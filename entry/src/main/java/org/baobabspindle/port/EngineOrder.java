package org.baobabspindle.port;

import java.util.List;
import org.baobabspindle.core.fleet.GroupKey;
import org.baobabspindle.core.id.InstanceId;

/** An order that a keeper sends to a model engine, such as to join or leave a group. */
public sealed interface EngineOrder {
    /**
     * Joins a group; the rank of each member is its index in the list.
     *
     * @param group the group
     * @param model the model of the group
     * @param members all members, by rank; the first one is the head, which takes the requests of the group
     */
    record Join(GroupKey group, String model, List<InstanceId> members) implements EngineOrder {
        /** Copies the members. */
        public Join {
            members = List.copyOf(members);
        }
    }

    /**
     * Starts to accept requests; sent to the head.
     *
     * @param group the group
     */
    record Open(GroupKey group) implements EngineOrder {}

    /**
     * Stops accepting requests and completes those in progress; sent to the head.
     *
     * @param group the group
     */
    record Close(GroupKey group) implements EngineOrder {}

    /**
     * Stages a model: loads its weights onto the host while all other work continues.
     *
     * @param model the model
     */
    record Stage(String model) implements EngineOrder {}

    /**
     * Leaves the group immediately, without completing requests in progress.
     *
     * @param group the group
     */
    record Leave(GroupKey group) implements EngineOrder {}
}
