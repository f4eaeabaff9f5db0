package org.baobabspindle.core.request;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Spreads the times at which callers come back. */
public final class RetryAfter {
    private RetryAfter() {}

    /**
     * Returns a time at or after a base.
     *
     * @param base the earliest time that helps
     * @param random the source of the spread
     * @return between the base and twice the base, at least a second
     */
    public static Duration jittered(Duration base, RandomGenerator random) {
        long millis = Math.max(1_000, base.toMillis());
        return Duration.ofMillis(millis + random.nextLong(millis + 1));
    }
}
