package org.baobabspindle.port;

import java.util.Set;

/**
 * The partitions of the keeper's work that an entry holds.
 *
 * @param generation the generation, which grows with each change of the members
 * @param partitions the partitions it holds
 */
public record LeaseGrant(long generation, Set<Integer> partitions) {
    /** Copies the partitions. */
    public LeaseGrant {
        partitions = Set.copyOf(partitions);
    }
}
