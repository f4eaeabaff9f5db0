package org.baobabspindle.serving;

import java.util.Collection;
import org.baobabspindle.core.log.Group;

/** Asks the members of groups at once, when what is known of the groups is too old to act on. */
public interface GroupProber {
    /**
     * Asks the members and waits for their answers, for less than a second.
     *
     * @param groups the groups
     */
    void probeMembers(Collection<Group> groups);
}
