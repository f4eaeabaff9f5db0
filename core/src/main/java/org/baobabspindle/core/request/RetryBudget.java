package org.baobabspindle.core.request;

/** Bounds retries to a fraction of first attempts. Safe for use by several threads. */
public final class RetryBudget {
    private final double perRequest;
    private final double most;
    private double tokens;

    /**
     * Creates a budget.
     *
     * @param perRequest the retries that each first attempt allows
     * @param most the most retries saved up
     */
    public RetryBudget(double perRequest, double most) {
        this.perRequest = perRequest;
        this.most = most;
        this.tokens = most;
    }

    /** Notes a first attempt. */
    public synchronized void recordFirstAttempt() {
        tokens = Math.min(most, tokens + perRequest);
    }

    /**
     * Takes a retry from the budget.
     *
     * @return whether a retry may be made
     */
    public synchronized boolean tryRetry() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
