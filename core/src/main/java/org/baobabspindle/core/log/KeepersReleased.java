package org.baobabspindle.core.log;

/** Releases all claims that the writer holds; other entries may claim the fabric domains at once. */
public record KeepersReleased() implements LogRecord {
    @Override
    public Verdict applyTo(ReplayedState state, RecordPosition position) {
        return state.groupState().release(position.writer());
    }
}
