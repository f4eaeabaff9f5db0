package org.baobabspindle.core.request;

import java.time.Duration;
import java.time.Instant;

/**
 * Spends at one entry the tokens that the home of a client account has granted. Unused tokens lapse, so that an entry
 * whose traffic has moved away keeps nothing from the others. Not safe for use by several threads.
 */
public final class AccountTokenCache {
    private static final Duration GRANT_LIFETIME = Duration.ofSeconds(1);
    private static final Duration DRY_PAUSE = Duration.ofMillis(100);
    private static final double AHEAD_SECONDS = 0.5;
    private static final double SMOOTHING = 0.3;
    private static final double NANOS_PER_SECOND = 1e9;

    private final TokenBucket fallback;
    private int acceptGrant;
    private Instant grantedAt;
    private double demandPerSecond;
    private Instant lastTaken;
    private Instant dryUntil;

    /**
     * Creates a spender without tokens.
     *
     * @param now the present time
     */
    public AccountTokenCache(Instant now) {
        this.fallback = new TokenBucket(now, 1);
        this.grantedAt = now;
        this.lastTaken = now;
        this.dryUntil = now;
    }

    /**
     * Spends a granted token.
     *
     * @param now the present time
     * @return whether there was one
     */
    public boolean tryTake(Instant now) {
        noteDemand(now);
        if (!grantedAt.plus(GRANT_LIFETIME).isAfter(now)) {
            acceptGrant = 0;
        }
        if (acceptGrant == 0) {
            return false;
        }
        acceptGrant--;
        return true;
    }

    /**
     * Tells how long it is of no use to ask the home, since it had nothing to grant a moment ago.
     *
     * @param now the present time
     * @return the time until the next question; zero if the home may be asked
     */
    public Duration retryDelay(Instant now) {
        return dryUntil.isAfter(now) ? Duration.between(now, dryUntil) : Duration.ZERO;
    }

    /**
     * Returns how many tokens to ask the home for.
     *
     * @return at least one, and what the recent demand needs until the next question
     */
    public int tokensToRequest() {
        return (int) Math.max(1, Math.ceil(demandPerSecond * AHEAD_SECONDS));
    }

    /**
     * Notes what the home granted; one of the tokens is spent at once.
     *
     * @param now the present time
     * @param count the tokens granted
     * @return whether a token could be spent
     */
    public boolean acceptGrant(Instant now, int count) {
        acceptGrant += count;
        grantedAt = now;
        if (acceptGrant == 0) {
            dryUntil = now.plus(DRY_PAUSE);
            return false;
        }
        acceptGrant--;
        return true;
    }

    /**
     * Spends from this entry's own share while the home does not answer.
     *
     * @param now the present time
     * @param sharePerSecond the share of this entry, in requests per second
     * @return zero if a token was spent, else the time until there is one
     */
    public Duration takeFromLocalShare(Instant now, double sharePerSecond) {
        return fallback.take(now, sharePerSecond, Math.max(1, sharePerSecond));
    }

    private void noteDemand(Instant now) {
        double seconds = Math.max(1e-3, Duration.between(lastTaken, now).toNanos() / NANOS_PER_SECOND);
        demandPerSecond += SMOOTHING * Math.min(1, seconds * 10) * (1 / seconds - demandPerSecond);
        lastTaken = now;
    }
}
