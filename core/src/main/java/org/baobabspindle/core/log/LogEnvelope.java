package org.baobabspindle.core.log;

import org.baobabspindle.core.id.Checks;
import org.baobabspindle.core.id.Incarnation;

/**
 * A record with its writer and sequence number, by which replay recognizes and drops repeated appends.
 *
 * @param writer the incarnation of the entry that wrote the record
 * @param sequence the sequence number of the record among those of its writer, increasing from 1
 * @param body the record
 */
public record LogEnvelope(Incarnation writer, long sequence, LogRecord body) {
    /** Checks the components. */
    public LogEnvelope {
        Checks.require(writer != null, "writer must not be null");
        Checks.require(sequence >= 1, "sequence must be at least 1 but was " + sequence);
        Checks.require(body != null, "body must not be null");
    }
}
