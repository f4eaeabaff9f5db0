package org.baobabspindle.core.formation;

import java.util.List;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.GroupKey;

/** An order of a keeper to an engine. */
public sealed interface FormationAction {
    /**
     * Returns the engine that the order is sent to.
     *
     * @return the engine as last listed
     */
    BackendServer server();

    /**
     * Returns the group that the order concerns.
     *
     * @return the group
     */
    GroupKey key();

    /**
     * Returns the reason for the order, for the log.
     *
     * @return the reason
     */
    String reason();

    /**
     * Orders an engine to join a new group.
     *
     * @param server the member
     * @param key the group
     * @param model the model
     * @param members all members; the first one is the head
     * @param reason the reason, for the log
     */
    record Join(BackendServer server, GroupKey key, String model, List<BackendServer> members, String reason)
            implements FormationAction {
        /** Copies the members. */
        public Join {
            members = List.copyOf(members);
        }
    }

    /**
     * Orders a head whose group is ready to accept requests.
     *
     * @param server the head
     * @param key the group
     * @param reason the reason, for the log
     */
    record Open(BackendServer server, GroupKey key, String reason) implements FormationAction {}

    /**
     * Orders a head to accept no more requests and finish those it has.
     *
     * @param server the head
     * @param key the group
     * @param reason the reason, for the log
     */
    record Close(BackendServer server, GroupKey key, String reason) implements FormationAction {}

    /**
     * Orders an engine to load the weights of a model onto its host; its group, if any, keeps serving.
     *
     * @param server the engine
     * @param key a placeholder, since staging concerns no group
     * @param model the model
     * @param reason the reason, for the log
     */
    record Stage(BackendServer server, GroupKey key, String model, String reason) implements FormationAction {}

    /**
     * Orders an engine to leave its group at once.
     *
     * @param server the member, usually the head
     * @param key the group
     * @param reason the reason, for the log
     */
    record Leave(BackendServer server, GroupKey key, String reason) implements FormationAction {}
}
