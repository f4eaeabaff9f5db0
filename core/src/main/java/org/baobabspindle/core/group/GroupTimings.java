package org.baobabspindle.core.group;

import java.time.Duration;
import org.baobabspindle.core.id.Checks;

/**
 * Timeouts and intervals of the decisions on groups.
 *
 * @param maxConfirmationAge how long a member's report counts as a confirmation
 * @param lease how long a keeper may act after it sent its last accepted renewal
 * @param driftAllowance the allowance that other entries add to the lease because clocks run at different rates
 * @param renewalInterval the time between renewals of the lease
 * @param claimStagger how much longer than the candidate before it each candidate waits to claim a vacant domain
 * @param orderLifetime how long after it was sent an order may still be delivered to an engine
 * @param orderRetryInterval the time between repetitions of an order to an engine
 * @param drainTimeout how long a draining group may take to finish its requests
 */
public record GroupTimings(
        Duration maxConfirmationAge,
        Duration lease,
        Duration driftAllowance,
        Duration renewalInterval,
        Duration claimStagger,
        Duration orderLifetime,
        Duration orderRetryInterval,
        Duration drainTimeout) {
    /** The default timings. */
    public static final GroupTimings DEFAULT = new GroupTimings(
            Duration.ofMillis(2_500),
            Duration.ofSeconds(8),
            Duration.ofSeconds(1),
            Duration.ofSeconds(2),
            Duration.ofSeconds(1),
            Duration.ofSeconds(2),
            Duration.ofSeconds(1),
            Duration.ofMinutes(2));

    /** Checks that the timings are consistent. */
    public GroupTimings {
        Checks.require(
                renewalInterval.multipliedBy(2).compareTo(lease) <= 0,
                "renewalInterval must be at most half the lease");
        Checks.require(
                !maxConfirmationAge.isNegative() && !maxConfirmationAge.isZero(), "maxConfirmationAge must be above 0");
    }
}
