package org.baobabspindle.core.log;

import org.baobabspindle.core.id.GroupId;
import org.baobabspindle.core.id.LogOffset;

/**
 * The end of a group; its members are free again.
 *
 * @param group the group
 * @param epoch the epoch of the claim under which the group is dissolved
 * @param reason why, for people
 */
public record GroupDissolved(GroupId group, LogOffset epoch, String reason) implements LogRecord {
    @Override
    public Verdict applyTo(ReplayedState state, RecordPosition position) {
        return state.groupState().dissolve(group, epoch, position);
    }
}
