package org.baobabspindle.core.request;

import java.time.Duration;
import java.time.Instant;

/** A token bucket whose rate can change. Not safe for use by several threads. */
public final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private double tokens;
    private Instant filledAt;

    /**
     * Creates a bucket.
     *
     * @param now the present time
     * @param tokens the tokens in it
     */
    public TokenBucket(Instant now, double tokens) {
        this.filledAt = now;
        this.tokens = tokens;
    }

    /**
     * Takes one token if there is one.
     *
     * @param now the present time
     * @param perSecond the tokens that are added per second
     * @param burst the most tokens it holds
     * @return zero if a token was taken, else the time until there is one
     */
    public Duration take(Instant now, double perSecond, double burst) {
        refill(now, perSecond, burst);
        if (tokens >= 1) {
            tokens -= 1;
            return Duration.ZERO;
        }
        return Duration.ofNanos((long) ((1 - tokens) / perSecond * NANOS_PER_SECOND) + 1);
    }

    /**
     * Takes up to a number of tokens.
     *
     * @param now the present time
     * @param perSecond the tokens that are added per second
     * @param burst the most tokens it holds
     * @param wanted the most to take
     * @return the number taken, a whole number
     */
    public int takeUpTo(Instant now, double perSecond, double burst, int wanted) {
        refill(now, perSecond, burst);
        int taken = (int) Math.max(0, Math.min(wanted, Math.floor(tokens)));
        tokens -= taken;
        return taken;
    }

    /**
     * Adds tokens.
     *
     * @param count the tokens to add
     * @param burst the most tokens it holds
     */
    public void add(double count, double burst) {
        tokens = Math.min(burst, tokens + count);
    }

    private void refill(Instant now, double perSecond, double burst) {
        if (now.isAfter(filledAt)) {
            double seconds = Duration.between(filledAt, now).toNanos() / NANOS_PER_SECOND;
            tokens = Math.min(burst, tokens + seconds * perSecond);
            filledAt = now;
        }
    }
}
