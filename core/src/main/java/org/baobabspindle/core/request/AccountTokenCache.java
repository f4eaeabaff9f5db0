package org.baobabspindle.core.request;

import java.time.Duration;
import java.time.Instant;

/**
 * Holds the tokens that the home of a client account has granted to this entry. Unused tokens expire, so that an entry
 * that no longer receives requests of the account withholds no tokens from other entries. This class is not
 * thread-safe.
 */
public final class AccountTokenCache {
    private static final Duration GRANT_LIFETIME = Duration.ofSeconds(1);
    private static final Duration EMPTY_GRANT_DELAY = Duration.ofMillis(100);
    private static final double PREFETCH_SECONDS = 0.5;
    private static final double DEMAND_SMOOTHING = 0.3;
    private static final double NANOS_PER_SECOND = 1e9;

    private final TokenBucket localBucket;
    private int tokens;
    private Instant grantedAt;
    private double demandPerSecond;
    private Instant lastTakeAt;
    private Instant retryAt;

    /**
     * Creates a cache without tokens.
     *
     * @param now the current time
     */
    public AccountTokenCache(Instant now) {
        this.localBucket = new TokenBucket(now, 1);
        this.grantedAt = now;
        this.lastTakeAt = now;
        this.retryAt = now;
    }

    /**
     * Spends a granted token if an unexpired one is left.
     *
     * @param now the current time
     * @return whether a token was spent
     */
    public boolean tryTake(Instant now) {
        updateDemand(now);
        if (!grantedAt.plus(GRANT_LIFETIME).isAfter(now)) {
            tokens = 0;
        }
        if (tokens == 0) {
            return false;
        }
        tokens--;
        return true;
    }

    /**
     * Returns how long to wait before requesting tokens again, after the home granted none.
     *
     * @param now the current time
     * @return the remaining delay; zero if tokens may be requested now
     */
    public Duration retryDelay(Instant now) {
        return retryAt.isAfter(now) ? Duration.between(now, retryAt) : Duration.ZERO;
    }

    /**
     * Returns how many tokens to request from the home.
     *
     * @return the number of tokens that covers the recent demand until the next request to the home; at least one
     */
    public int tokensToRequest() {
        return (int) Math.max(1, Math.ceil(demandPerSecond * PREFETCH_SECONDS));
    }

    /**
     * Adds the tokens that the home granted and spends one of them.
     *
     * @param now the current time
     * @param count the number of tokens granted; may be zero
     * @return whether a token was spent
     */
    public boolean acceptGrant(Instant now, int count) {
        tokens += count;
        grantedAt = now;
        if (tokens == 0) {
            retryAt = now.plus(EMPTY_GRANT_DELAY);
            return false;
        }
        tokens--;
        return true;
    }

    /**
     * Spends a token from this entry's own share of the limit, for use while the home is unresponsive.
     *
     * @param now the current time
     * @param sharePerSecond this entry's share of the rate limit, in requests per second
     * @return zero if a token was spent, otherwise the time until one is available
     */
    public Duration takeFromLocalShare(Instant now, double sharePerSecond) {
        return localBucket.take(now, sharePerSecond, Math.max(1, sharePerSecond));
    }

    private void updateDemand(Instant now) {
        double seconds = Math.max(1e-3, Duration.between(lastTakeAt, now).toNanos() / NANOS_PER_SECOND);
        demandPerSecond += DEMAND_SMOOTHING * Math.min(1, seconds * 10) * (1 / seconds - demandPerSecond);
        lastTakeAt = now;
    }
}
