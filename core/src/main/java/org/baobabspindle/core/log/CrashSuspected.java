package org.baobabspindle.core.log;

import org.baobabspindle.core.id.GroupId;

/**
 * A request that was in flight when its backend server crashed.
 *
 * @param fingerprint the hash of the request
 * @param group the group that crashed
 */
public record CrashSuspected(String fingerprint, GroupId group) implements LogRecord {
    @Override
    public Verdict applyTo(ReplayedState state, RecordPosition position) {
        return state.crashHistory().recordCrash(fingerprint, group);
    }
}
