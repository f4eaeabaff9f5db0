package org.baobabspindle.core.configuration;

import org.baobabspindle.core.id.Checks;

/**
 * The size and number of the groups that serve a model.
 *
 * @param instancesPerGroup the number of instances that together hold one replica, 1 to 64
 * @param groups the number of groups, that is replicas, 0 to 10000
 */
public record ModelSetting(int instancesPerGroup, int groups) {
    private static final int MAX_INSTANCES_PER_GROUP = 64;
    private static final int MAX_GROUPS = 10_000;

    /** Checks the ranges. */
    public ModelSetting {
        Checks.require(
                instancesPerGroup >= 1 && instancesPerGroup <= MAX_INSTANCES_PER_GROUP,
                "instancesPerGroup must be 1 to " + MAX_INSTANCES_PER_GROUP + " but was " + instancesPerGroup);
        Checks.require(groups >= 0 && groups <= MAX_GROUPS, "groups must be 0 to " + MAX_GROUPS + " but was " + groups);
    }
}
