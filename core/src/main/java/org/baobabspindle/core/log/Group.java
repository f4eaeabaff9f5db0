package org.baobabspindle.core.log;

import java.util.List;
import org.baobabspindle.core.id.FabricDomain;
import org.baobabspindle.core.id.GroupId;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.ModelVersion;

/**
 * A group as the log records it.
 *
 * @param id the group
 * @param domain the fabric domain of all members
 * @param model the model
 * @param members the members; the first one takes the requests
 */
public record Group(GroupId id, FabricDomain domain, ModelVersion model, List<Incarnation> members) {
    /** Takes a copy of the members. */
    public Group {
        members = List.copyOf(members);
    }

    /**
     * Returns the member that takes the requests of the group.
     *
     * @return the first member
     */
    public Incarnation head() {
        return members.get(0);
    }
}
