package org.baobabspindle.core.dispatch;

import java.time.Duration;
import org.baobabspindle.core.id.Checks;

/**
 * How the requests to a cold server are limited. A cold server may get at most {@code perSecond * overage + slack}
 * requests in any second. Requests that are sent within 1.3 s may arrive within one second. In that time, {@code n}
 * entries that each may send one request at once and share the rate {@code r} send at most {@code n + 1.3 r} requests.
 * The rate and the number of entries are chosen so that this sum is not above the bound.
 *
 * @param perSecond the rate of all entries together, in requests per second
 * @param sharers the maximum number of entries that send requests to the server; 0 if none may
 */
public record ColdLimit(double perSecond, int sharers) {
    /** The time within which requests are sent that arrive within one second: some are delayed by up to 0.3 s. */
    static final Duration SENDING_WINDOW = Duration.ofMillis(1_300);

    /** Validates the rate and the number of entries. */
    public ColdLimit {
        Checks.require(perSecond >= 0, "rate must not be negative but was " + perSecond);
        Checks.notNegative("sharers", sharers);
    }

    /**
     * Derives the limit from the bound that the operator states.
     *
     * @param perSecond the requests per second that a cold server handles
     * @param overage the factor by which they may be exceeded
     * @param slack the further requests that are allowed in any second
     * @return the limit
     */
    public static ColdLimit of(double perSecond, double overage, double slack) {
        double window = SENDING_WINDOW.toMillis() / 1e3;
        double bound = perSecond * overage + slack;
        if (bound < 1) {
            return new ColdLimit(0, 0);
        }
        double rate = Math.min(perSecond, (bound - 1) / window);
        return new ColdLimit(rate, Math.max(1, (int) Math.min(Integer.MAX_VALUE, bound - window * rate)));
    }
}
