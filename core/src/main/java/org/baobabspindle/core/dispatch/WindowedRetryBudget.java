package org.baobabspindle.core.dispatch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.baobabspindle.core.time.Moment;

/**
 * Limits the retries of one entry to its share of the retries that all entries may make within a sliding window. A
 * failure can hit many requests at once; all entries together stay within the limit even while they cannot reach each
 * other.
 */
public final class WindowedRetryBudget {
    private final double ratio;
    private final double burst;
    private final Duration window;
    private final Deque<Moment> requests = new ArrayDeque<>();
    private final Deque<Moment> retries = new ArrayDeque<>();

    /**
     * Creates a budget.
     *
     * @param ratio the retries allowed for each request
     * @param burst the additional retries allowed in each window, over all entries
     * @param window the length of the sliding window
     */
    public WindowedRetryBudget(double ratio, double burst, Duration window) {
        this.ratio = ratio;
        this.burst = burst;
        this.window = window;
    }

    /**
     * Records a request of a caller.
     *
     * @param now the present time
     */
    public void recordRequest(Moment now) {
        requests.addLast(now);
        expire(requests, now);
    }

    /**
     * Acquires one retry if the share of this entry allows it.
     *
     * @param entries the number of entries that share the burst, this one included
     * @param now the present time
     * @return whether the retry may be made
     */
    public boolean tryAcquire(int entries, Moment now) {
        expire(requests, now);
        expire(retries, now);
        double allowed = ratio * requests.size() + burst / entries;
        if (retries.size() + 1 > allowed) {
            return false;
        }
        retries.addLast(now);
        return true;
    }

    private void expire(Deque<Moment> moments, Moment now) {
        Moment oldest = now.minus(window);
        while (!moments.isEmpty() && moments.peekFirst().isBefore(oldest)) {
            moments.removeFirst();
        }
    }
}
