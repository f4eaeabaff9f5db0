package org.baobabspindle.core.request;

/** Limits retries to a fraction of the first attempts. This class is thread-safe. */
public final class RetryBudget {
    private final double tokensPerAttempt;
    private final double maxTokens;
    private double tokens;

    /**
     * Creates a full budget.
     *
     * @param tokensPerAttempt the number of retries that each first attempt adds to the budget
     * @param maxTokens the maximum number of retries in the budget
     */
    public RetryBudget(double tokensPerAttempt, double maxTokens) {
        this.tokensPerAttempt = tokensPerAttempt;
        this.maxTokens = maxTokens;
        this.tokens = maxTokens;
    }

    /** Records a first attempt, which adds to the budget. */
    public synchronized void recordFirstAttempt() {
        tokens = Math.min(maxTokens, tokens + tokensPerAttempt);
    }

    /**
     * Takes one retry from the budget if one is available.
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
