package org.baobabspindle.core.fleet;

import java.time.Duration;
import org.baobabspindle.core.id.Checks;

/**
 * What the servers of a service handle after their start, while they are cold.
 *
 * @param time how long a server is cold
 * @param perSecond the requests per second that a cold server handles; 0 if requests to cold servers are not limited
 */
public record ColdStart(Duration time, double perSecond) {
    /** Requests to cold servers are not limited. */
    public static final ColdStart UNLIMITED = new ColdStart(Duration.ZERO, 0);

    /** How long a server is cold if the configuration states a rate but no time. */
    public static final Duration DEFAULT_TIME = Duration.ofSeconds(3);

    /** Validates the time and the rate. */
    public ColdStart {
        Checks.require(!time.isNegative(), "time must not be negative but was " + time);
        Checks.require(
                perSecond >= 0 && Double.isFinite(perSecond),
                "cold rate must be finite and not negative but was " + perSecond);
    }

    /**
     * Returns whether requests to cold servers are limited.
     *
     * @return whether a rate and a time are stated
     */
    public boolean isLimited() {
        return perSecond > 0 && !time.isZero();
    }
}
