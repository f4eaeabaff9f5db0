package org.baobabspindle.core.request;

import java.util.Collection;
import java.util.Set;
import java.util.stream.Collectors;
import org.baobabspindle.core.group.Rendezvous;
import org.baobabspindle.core.id.GroupId;
import org.baobabspindle.core.id.Incarnation;

/**
 * Selects the groups whose state an entry tracks. Each entry tracks its own subset, so that its number of queries does
 * not grow with the number of groups. The subsets of all entries together load the groups evenly.
 */
public final class GroupSubset {
    /** The maximum number of groups that an entry tracks. */
    public static final int MAX_SIZE = 12;

    private GroupSubset() {}

    /**
     * Selects the groups that an entry tracks.
     *
     * @param entry the entry
     * @param groups all groups of a model
     * @param size the maximum number of groups to select
     * @return the selected groups; rendezvous hashing keeps changes small when groups are added or removed
     */
    public static Set<GroupId> of(Incarnation entry, Collection<GroupId> groups, int size) {
        return Rendezvous.rank(entry.toString(), groups).stream().limit(size).collect(Collectors.toUnmodifiableSet());
    }
}
