package org.baobabspindle.core.log;

import org.baobabspindle.core.id.GroupId;
import org.baobabspindle.core.id.LogOffset;

/**
 * Dissolves a group; its members become free.
 *
 * @param group the group
 * @param epoch the epoch of the claim under which the group is dissolved
 * @param reason the reason, for human readers only
 */
public record GroupDissolved(GroupId group, LogOffset epoch, String reason) implements LogRecord {
    @Override
    public Verdict applyTo(ReplayedState state, RecordPosition position) {
        return state.groupState().dissolve(group, epoch, position);
    }
}
