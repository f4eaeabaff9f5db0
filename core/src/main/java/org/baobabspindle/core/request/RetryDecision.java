package org.baobabspindle.core.request;

/** Whether a request is attempted again after an attempt that did not complete. */
public enum RetryDecision {
    /** Attempt the request again on another group. */
    RETRY,
    /** Report to the caller that the request did not run. */
    GIVE_UP_NOT_RUN,
    /** Report to the caller that the request may have run. */
    GIVE_UP_UNKNOWN;

    /** The maximum number of attempts per request. */
    public static final int MAX_ATTEMPTS = 2;

    /**
     * Decides whether to attempt a request again and, if so, takes a retry from the budget.
     *
     * @param settlement the settlement of the last attempt; not {@link Settlement#COMPLETED}
     * @param idempotent whether the request may run twice
     * @param attempts the number of attempts made so far
     * @param budget the budget of retries
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
