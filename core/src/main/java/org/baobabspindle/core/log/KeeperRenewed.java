package org.baobabspindle.core.log;

/**
 * Tells that the writer still keeps all the fabric domains it has claimed.
 *
 * @param sentAtMillis the time on the writer's own clock when it sent the renewal, in milliseconds; only the writer reads it
 */
public record KeeperRenewed(long sentAtMillis) implements LogRecord {
    @Override
    public Verdict applyTo(ReplayedState state, RecordPosition position) {
        return state.groupState().renew(position);
    }
}
