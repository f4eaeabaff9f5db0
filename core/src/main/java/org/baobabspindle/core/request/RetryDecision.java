package org.baobabspindle.core.request;

/** Decides whether a request whose attempt has ended without an answer may be attempted again. */
public enum RetryDecision {
    /** Attempt it again on another group. */
    RETRY,
    /** Tell the caller that it did not run. */
    GIVE_UP_NOT_RUN,
    /** Tell the caller that it may have run. */
    GIVE_UP_UNKNOWN;

    /** The most attempts at one request. */
    public static final int MAX_ATTEMPTS = 2;

    /**
     * Decides.
     *
     * @param settlement how the last attempt ended; not completed
     * @param idempotent whether the request may run twice
     * @param attempts the attempts made so far
     * @param budget the retries that are left
     * @return the decision
     */
    public static RetryDecision of(Settlement settlement, boolean idempotent, int attempts, RetryBudget budget) {
        boolean repeatable = idempotent || settlement == Settlement.NOT_RUN;
        if (repeatable && attempts < MAX_ATTEMPTS && budget.tryRetry()) {
            return RETRY;
        }
        return settlement == Settlement.NOT_RUN ? GIVE_UP_NOT_RUN : GIVE_UP_UNKNOWN;
    }
}
