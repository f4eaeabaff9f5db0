package org.baobabspindle.core.fleet;

import org.baobabspindle.core.id.Checks;

/**
 * What a backend server says of its place in a group.
 *
 * @param key the group
 * @param rank its place; the head has rank 0
 * @param state the state that it reports
 */
public record GroupMembership(GroupKey key, int rank, MemberState state) {
    /** Checks the rank. */
    public GroupMembership {
        Checks.notNegative("rank", rank);
    }

    /**
     * Tells whether the backend server is the head.
     *
     * @return whether it is
     */
    public boolean head() {
        return rank == 0;
    }
}
