package org.baobabspindle.core.log;

import org.baobabspindle.core.id.Checks;
import org.baobabspindle.core.id.Incarnation;

/**
 * A record together with the mark by which replay drops repeated appends.
 *
 * @param writer the incarnation of the entry that wrote the record
 * @param sequence the number of the record among those of its writer, rising from 1
 * @param body the record
 */
public record LogEnvelope(Incarnation writer, long sequence, LogRecord body) {
    /** Checks the parts. */
    public LogEnvelope {
        Checks.require(writer != null, "writer must be given");
        Checks.require(sequence >= 1, "sequence must be at least 1 but was " + sequence);
        Checks.require(body != null, "body must be given");
    }
}
