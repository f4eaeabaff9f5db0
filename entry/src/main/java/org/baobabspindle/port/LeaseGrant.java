package org.baobabspindle.port;

import java.util.Set;

/**
 * The lease partitions that an entry holds; it is the keeper of the fabric domains in them.
 *
 * @param era the era of the store that made the grant; a restored store knows no grants of the lost time
 * @param generation the generation of the assignment, which increases with each change of the members
 * @param partitions the numbers of the partitions
 */
public record LeaseGrant(long era, long generation, Set<Integer> partitions) {
    /** Copies the partitions. */
    public LeaseGrant {
        partitions = Set.copyOf(partitions);
    }
}
