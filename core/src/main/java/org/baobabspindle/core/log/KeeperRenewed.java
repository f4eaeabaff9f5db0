package org.baobabspindle.core.log;

/** Tells that the writer still keeps all the fabric domains it has claimed. */
public record KeeperRenewed() implements LogRecord {
    @Override
    public Verdict applyTo(ReplayedState state, RecordPosition position) {
        return state.groupState().renew(position);
    }
}
