package org.baobabspindle.core.log;

/**
 * Announces that the writer stops soon. It is no longer offered to callers but remains a member of its region and
 * continues to respond.
 */
public record EntryLeaving() implements LogRecord {
    @Override
    public Verdict applyTo(ReplayedState state, RecordPosition position) {
        return state.membership().markLeaving(position.writer());
    }
}
