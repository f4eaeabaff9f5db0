package org.baobabspindle.core.log;

import java.util.List;
import org.baobabspindle.core.id.Checks;
import org.baobabspindle.core.id.FabricDomain;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.LogOffset;
import org.baobabspindle.core.id.ModelVersion;

/**
 * Forms a group of instances that together hold one model replica.
 *
 * @param domain the fabric domain of all members
 * @param epoch the epoch of the claim under which the group is formed
 * @param model the model
 * @param members the members, the head first
 */
public record GroupFormed(FabricDomain domain, LogOffset epoch, ModelVersion model, List<Incarnation> members)
        implements LogRecord {
    /** Checks and copies the members. */
    public GroupFormed {
        Checks.require(members != null && !members.isEmpty(), "members must not be empty");
        members = List.copyOf(members);
    }

    @Override
    public Verdict applyTo(ReplayedState state, RecordPosition position) {
        return state.groupState().form(this, position, state.configuration());
    }
}
