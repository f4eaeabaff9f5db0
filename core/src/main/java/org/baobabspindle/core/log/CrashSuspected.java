package org.baobabspindle.core.log;

import org.baobabspindle.core.id.GroupId;

/**
 * Records a request that was in flight when its group crashed.
 *
 * @param fingerprint the fingerprint of the request, a hash
 * @param group the group that crashed
 */
public record CrashSuspected(String fingerprint, GroupId group) implements LogRecord {
    @Override
    public Verdict applyTo(ReplayedState state, RecordPosition position) {
        return state.crashHistory().recordCrash(fingerprint, group);
    }
}
