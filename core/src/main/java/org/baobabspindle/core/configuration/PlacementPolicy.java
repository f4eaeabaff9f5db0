package org.baobabspindle.core.configuration;

import java.time.Duration;

/** The policy by which a keeper trades group downtime against stranded accelerators. */
public enum PlacementPolicy {
    /** Keeps spare instances so that a group that lost a member is whole again soon. */
    LEAST_DOWNTIME(Duration.ofSeconds(3)) {
        @Override
        public int reservedSpares(int freeInstances, int servingGroups) {
            return servingGroups > 0 ? 1 : 0;
        }
    },
    /** Puts every instance into a group whenever a group can be completed. */
    LEAST_STRANDED(Duration.ofSeconds(10)) {
        @Override
        public int reservedSpares(int freeInstances, int servingGroups) {
            return 0;
        }
    };

    private final Duration patience;

    PlacementPolicy(Duration patience) {
        this.patience = patience;
    }

    /**
     * Returns how long a silent member is waited for before its group is dissolved.
     *
     * @return the time without a report
     */
    public Duration patience() {
        return patience;
    }

    /**
     * Returns how many free instances of a fabric domain are kept back when another group is formed there.
     *
     * @param freeInstances the instances of the domain that are in no group
     * @param servingGroups the groups of the domain
     * @return the number of instances kept back
     */
    public abstract int reservedSpares(int freeInstances, int servingGroups);
}
