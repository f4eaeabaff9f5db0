package org.baobabspindle.core.request;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Computes retry delays with random jitter, so that callers do not retry at the same time. */
public final class RetryAfter {
    private RetryAfter() {}

    /**
     * Returns a delay with jitter.
     *
     * @param base the minimum delay; delays below one second count as one second
     * @param random the random generator
     * @return a delay between the base and twice the base; at least one second
     */
    public static Duration jittered(Duration base, RandomGenerator random) {
        long millis = Math.max(1_000, base.toMillis());
        return Duration.ofMillis(millis + random.nextLong(millis + 1));
    }
}
