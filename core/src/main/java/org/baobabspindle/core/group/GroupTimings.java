package org.baobabspindle.core.group;

import java.time.Duration;
import org.baobabspindle.core.id.Checks;

/**
 * The times that group decisions go by.
 *
 * @param maxConfirmationAge how long a member's confirmation counts
 * @param lease how long a keeper may act after it sent its last accepted renewal
 * @param driftAllowance the allowance that others add to the lease for clocks that run at different rates
 * @param renewalInterval the time between renewals
 * @param claimStagger how much longer each further candidate waits before it claims a vacant domain
 * @param orderLifetime how long an order may be under way to an engine
 * @param orderRetryInterval the time between repeated orders to an engine
 * @param drainTimeout how long a draining group may finish its requests
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
    /** The times used unless settings say otherwise. */
    public static final GroupTimings DEFAULT = new GroupTimings(
            Duration.ofMillis(2_500),
            Duration.ofSeconds(8),
            Duration.ofSeconds(1),
            Duration.ofSeconds(2),
            Duration.ofSeconds(1),
            Duration.ofSeconds(2),
            Duration.ofSeconds(1),
            Duration.ofMinutes(2));

    /** Checks the relations between the times. */
    public GroupTimings {
        Checks.require(renewalInterval.multipliedBy(2).compareTo(lease) <= 0, "renewal must be at most half the lease");
        Checks.require(
                !maxConfirmationAge.isNegative() && !maxConfirmationAge.isZero(), "confirmationAge must be above 0");
    }
}
