package org.baobabspindle.core.group;

import java.time.Instant;
import java.util.List;
import org.baobabspindle.core.id.FabricDomain;
import org.baobabspindle.core.id.FencingNumber;
import org.baobabspindle.core.id.GroupId;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.ModelVersion;
import org.baobabspindle.core.log.LogRecord;

/** Something a keeper decided to do. */
public sealed interface KeeperAction {
    /**
     * Tells why, for the log line of the decision.
     *
     * @return the reason
     */
    String reason();

    /**
     * A record to append.
     *
     * @param domain the fabric domain concerned; null for a renewal of all claims
     * @param record the record
     * @param sentAt when it was decided; a lease counts from here
     * @param reason why
     */
    record Append(FabricDomain domain, LogRecord record, Instant sentAt, String reason) implements KeeperAction {}

    /**
     * An order to an engine to hold its part of a model, or to release what it holds.
     *
     * @param target the engine
     * @param fencing the number of the order
     * @param group the group to hold a part for; null to release
     * @param model the model; null to release
     * @param members the members of the group in order; empty to release
     * @param notAfter when the order must no longer be delivered
     * @param reason why
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
