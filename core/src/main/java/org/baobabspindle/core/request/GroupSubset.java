package org.baobabspindle.core.request;

import java.util.Collection;
import java.util.Set;
import java.util.stream.Collectors;
import org.baobabspindle.core.group.Rendezvous;
import org.baobabspindle.core.id.GroupId;
import org.baobabspindle.core.id.Incarnation;

/**
 * The groups that an entry keeps track of. Each entry has a subset of its own, so that what it must ask for does not
 * grow with the number of groups, and the subsets together load all groups alike.
 */
public final class GroupSubset {
    /** The most groups that an entry keeps track of. */
    public static final int MAX_SIZE = 12;

    private GroupSubset() {}

    /**
     * Chooses the groups of an entry.
     *
     * @param entry the entry
     * @param groups all groups of a model
     * @param size the most groups to choose
     * @return the groups chosen; they change little when groups come and go
     */
    public static Set<GroupId> of(Incarnation entry, Collection<GroupId> groups, int size) {
        return Rendezvous.rank(entry.toString(), groups).stream().limit(size).collect(Collectors.toUnmodifiableSet());
    }
}
