package org.baobabspindle.core.fleet;

import org.baobabspindle.core.id.Checks;

/**
 * What the users of a fleet weigh against each other when groups are formed anew.
 *
 * @param downtimeWeight how much it counts that a serving group is dissolved, against engines that serve less than they
 *     could; 1 counts both alike
 */
public record PlanPolicy(double downtimeWeight) {
    /** Counts downtime and stranded engines alike. */
    public static final PlanPolicy EVEN = new PlanPolicy(1);

    /** Checks the weight. */
    public PlanPolicy {
        Checks.require(downtimeWeight >= 0, "downtime weight must not be negative but was " + downtimeWeight);
    }
}
