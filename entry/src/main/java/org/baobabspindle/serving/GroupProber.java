package org.baobabspindle.serving;

import java.util.Collection;
import org.baobabspindle.core.log.Group;

/** Probes the members of groups on demand, when the known state of these groups is too old to dispatch on. */
public interface GroupProber {
    /**
     * Probes the members and waits for their answers, for less than a second.
     *
     * @param groups the groups
     */
    void probeMembers(Collection<Group> groups);
}
