package org.baobabspindle.core.request;

import java.time.Duration;
import java.time.Instant;

/** A token bucket whose rate may differ between calls. This class is not thread-safe. */
public final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private double tokens;
    private Instant refilledAt;

    /**
     * Creates a bucket.
     *
     * @param now the current time
     * @param tokens the initial number of tokens
     */
    public TokenBucket(Instant now, double tokens) {
        this.refilledAt = now;
        this.tokens = tokens;
    }

    /**
     * Takes one token if one is available.
     *
     * @param now the current time
     * @param perSecond the number of tokens added per second
     * @param burst the maximum number of tokens in the bucket
     * @return zero if a token was taken, otherwise the time until one is available
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
     * Takes whole tokens, up to a maximum.
     *
     * @param now the current time
     * @param perSecond the number of tokens added per second
     * @param burst the maximum number of tokens in the bucket
     * @param maxTokens the maximum number of tokens to take
     * @return the number of tokens taken
     */
    public int takeUpTo(Instant now, double perSecond, double burst, int maxTokens) {
        refill(now, perSecond, burst);
        int taken = (int) Math.max(0, Math.min(maxTokens, Math.floor(tokens)));
        tokens -= taken;
        return taken;
    }

    /**
     * Adds tokens, up to the maximum.
     *
     * @param count the number of tokens to add
     * @param burst the maximum number of tokens in the bucket
     */
    public void add(double count, double burst) {
        tokens = Math.min(burst, tokens + count);
    }

    private void refill(Instant now, double perSecond, double burst) {
        if (now.isAfter(refilledAt)) {
            double seconds = Duration.between(refilledAt, now).toNanos() / NANOS_PER_SECOND;
            tokens = Math.min(burst, tokens + seconds * perSecond);
            refilledAt = now;
        }
    }
}
