package org.baobabspindle.core.log;

/** Renews all claims that the writer holds. */
public record KeeperRenewed() implements LogRecord {
    @Override
    public Verdict applyTo(ReplayedState state, RecordPosition position) {
        return state.groupState().renew(position);
    }
}
