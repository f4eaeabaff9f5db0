package org.baobabspindle.core.group;

import java.time.Instant;
import java.util.List;
import org.baobabspindle.core.id.FabricDomain;
import org.baobabspindle.core.id.FencingNumber;
import org.baobabspindle.core.id.GroupId;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.ModelVersion;
import org.baobabspindle.core.log.LogRecord;

/** An action that a keeper has decided on. */
public sealed interface KeeperAction {
    /**
     * Returns the reason for the action, written to the decision log.
     *
     * @return the reason
     */
    String reason();

    /**
     * Appends a record to the log.
     *
     * @param domain the fabric domain concerned, null for a renewal of all claims
     * @param record the record
     * @param sentAt when the append was decided; a lease runs from this moment
     * @param reason the reason for the action
     */
    record Append(FabricDomain domain, LogRecord record, Instant sentAt, String reason) implements KeeperAction {}

    /**
     * Orders an engine to hold its part of a model, or to release what it holds.
     *
     * @param target the engine
     * @param fencing the fencing number of the order
     * @param group the group to hold a part for, null to release
     * @param model the model, null to release
     * @param members the members of the group in order, empty to release
     * @param notAfter the time after which the order must not be delivered
     * @param reason the reason for the action
     */
    record Order(
            Incarnation target,
            FencingNumber fencing,
            GroupId group,
            ModelVersion model,
            List<Incarnation> members,
            Instant notAfter,
            String reason)
            implements KeeperAction {}
}
