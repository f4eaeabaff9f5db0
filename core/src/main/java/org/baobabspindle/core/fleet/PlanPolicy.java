package org.baobabspindle.core.fleet;

import org.baobabspindle.core.id.Checks;

/**
 * The weights of the objectives that the planner balances when it forms groups again.
 *
 * @param downtimeWeight the cost of dissolving a serving group, relative to that of engines that serve less than they
 *     could; 1 weighs both equally
 */
public record PlanPolicy(double downtimeWeight) {
    /** Weighs downtime and stranded engines equally. */
    public static final PlanPolicy EVEN = new PlanPolicy(1);

    /** Validates the weight. */
    public PlanPolicy {
        Checks.require(downtimeWeight >= 0, "downtime weight must not be negative but was " + downtimeWeight);
    }
}
