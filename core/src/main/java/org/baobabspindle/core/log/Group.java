package org.baobabspindle.core.log;

import java.util.List;
import org.baobabspindle.core.id.FabricDomain;
import org.baobabspindle.core.id.GroupId;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.ModelVersion;

/**
 * A group as recorded in the log: instances of one fabric domain that together hold one model replica. The first member
 * is the head of the group, which takes its requests.
 *
 * @param id the group
 * @param domain the fabric domain of all members
 * @param model the model
 * @param members the members, the head first
 */
public record Group(GroupId id, FabricDomain domain, ModelVersion model, List<Incarnation> members) {
    /** Copies the members. */
    public Group {
        members = List.copyOf(members);
    }

    /**
     * Returns the head, the member that takes the requests of the group.
     *
     * @return the first member
     */
    public Incarnation head() {
        return members.get(0);
    }
}
