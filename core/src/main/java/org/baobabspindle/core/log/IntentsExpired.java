package org.baobabspindle.core.log;

import org.baobabspindle.core.id.LogOffset;

/**
 * Expires all intents up to an offset.
 *
 * @param through the last offset whose intent expires
 */
public record IntentsExpired(LogOffset through) implements LogRecord {
    @Override
    public Verdict applyTo(ReplayedState state, RecordPosition position) {
        return state.intents().expire(through);
    }
}
