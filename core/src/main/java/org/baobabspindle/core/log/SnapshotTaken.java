package org.baobabspindle.core.log;

import com.fasterxml.jackson.databind.JsonNode;
import org.baobabspindle.core.id.LogOffset;

/**
 * Stores a snapshot of the whole state before an offset; older records may then expire.
 *
 * @param covers the offset before which the snapshot covers all records
 * @param state the snapshot
 */
public record SnapshotTaken(LogOffset covers, JsonNode state) implements LogRecord {
    @Override
    public Verdict applyTo(ReplayedState state, RecordPosition position) {
        return state.snapshotTaken(covers);
    }
}
