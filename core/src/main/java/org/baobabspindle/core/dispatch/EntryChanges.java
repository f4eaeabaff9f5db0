package org.baobabspindle.core.dispatch;

import java.util.Set;
import org.baobabspindle.core.id.InstanceId;

/**
 * The announcements of entries that were read from the store.
 *
 * @param announced the entries whose announcements were read
 * @param removed the entries whose announcements were removed
 * @param ownAnnounced whether the announcement of this process was read
 * @param snapshot whether {@code announced} contains all announced entries
 */
public record EntryChanges(Set<InstanceId> announced, Set<InstanceId> removed, boolean ownAnnounced, boolean snapshot) {
    /** Copies the sets. */
    public EntryChanges {
        announced = Set.copyOf(announced);
        removed = Set.copyOf(removed);
    }
}
