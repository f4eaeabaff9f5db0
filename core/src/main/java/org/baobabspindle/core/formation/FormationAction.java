package org.baobabspindle.core.formation;

import java.util.List;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.GroupKey;

/** What a keeper asks of an engine. */
public sealed interface FormationAction {
    /**
     * Returns the engine that gets the order.
     *
     * @return the engine as last seen
     */
    BackendServer server();

    /**
     * Returns the group that the order is about.
     *
     * @return the group
     */
    GroupKey key();

    /**
     * Says why, for the log.
     *
     * @return the reason
     */
    String reason();

    /**
     * Joins a new group.
     *
     * @param server the member
     * @param key the group
     * @param model the model
     * @param members all members; the first one is the head
     * @param reason why
     */
    record Join(BackendServer server, GroupKey key, String model, List<BackendServer> members, String reason)
            implements FormationAction {
        /** Copies the members. */
        public Join {
            members = List.copyOf(members);
        }
    }

    /**
     * Opens a head whose members are all ready.
     *
     * @param server the head
     * @param key the group
     * @param reason why
     */
    record Open(BackendServer server, GroupKey key, String reason) implements FormationAction {}

    /**
     * Lets a head finish what it has.
     *
     * @param server the head
     * @param key the group
     * @param reason why
     */
    record Close(BackendServer server, GroupKey key, String reason) implements FormationAction {}

    /**
     * Loads the weights of another model onto the host while the group serves on.
     *
     * @param server the engine
     * @param key the group that the engine is in
     * @param model the model
     * @param reason why
     */
    record Stage(BackendServer server, GroupKey key, String model, String reason) implements FormationAction {}

    /**
     * Ends the membership at once.
     *
     * @param server the member
     * @param key the group
     * @param reason why
     */
    record Leave(BackendServer server, GroupKey key, String reason) implements FormationAction {}
}
