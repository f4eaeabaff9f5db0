package org.baobabspindle.core.fleet;

import org.baobabspindle.core.id.Checks;

/**
 * The membership of a backend server in a group, as the server reports it.
 *
 * @param key the group
 * @param rank the rank of the server within the group; the head, the member that takes the requests of the group, has
 *     rank 0
 * @param state the state of the group that the server reports
 */
public record GroupMembership(GroupKey key, int rank, MemberState state) {
    /** Validates the rank. */
    public GroupMembership {
        Checks.notNegative("rank", rank);
    }

    /**
     * Returns whether the backend server is the head of the group.
     *
     * @return whether its rank is 0
     */
    public boolean head() {
        return rank == 0;
    }
}
