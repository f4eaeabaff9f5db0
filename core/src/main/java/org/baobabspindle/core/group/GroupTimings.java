package org.baobabspindle.core.group;

import java.time.Duration;
import org.baobabspindle.core.id.Checks;

/**
 * The times that group decisions go by.
 *
 * @param confirmationAge how long a member's confirmation counts
 * @param lease how long a keeper may act after it sent its last accepted renewal
 * @param drift the allowance that others add to the lease for clocks that run at different rates
 * @param renewal the time between renewals
 * @param claimStep how much longer each further candidate waits before it claims a vacant domain
 * @param orderLifetime how long an order may be under way to an engine
 * @param orderRetry the time between repeated orders to an engine
 * @param drainLimit how long a draining group may finish its requests
 */
public record GroupTimings(
        Duration confirmationAge,
        Duration lease,
        Duration drift,
        Duration renewal,
        Duration claimStep,
        Duration orderLifetime,
        Duration orderRetry,
        Duration drainLimit) {
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
        Checks.require(renewal.multipliedBy(2).compareTo(lease) <= 0, "renewal must be at most half the lease");
        Checks.require(!confirmationAge.isNegative() && !confirmationAge.isZero(), "confirmationAge must be above 0");
    }
}
