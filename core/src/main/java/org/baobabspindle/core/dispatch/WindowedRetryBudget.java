package org.baobabspindle.core.dispatch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.baobabspindle.core.time.Moment;

/**
 * The share of one entry in the retries that all entries may make. Answers a failure that hits many requests at once: all
 * entries together never exceed the bound, also while they cannot hear each other.
 */
public final class WindowedRetryBudget {
    private final double ratio;
    private final double burst;
    private final Duration window;
    private final Deque<Moment> requests = new ArrayDeque<>();
    private final Deque<Moment> retries = new ArrayDeque<>();

    /**
     * Creates a window.
     *
     * @param ratio the retries for each request
     * @param burst the retries in each window beside those, over all entries
     * @param window the length of the window
     */
    public WindowedRetryBudget(double ratio, double burst, Duration window) {
        this.ratio = ratio;
        this.burst = burst;
        this.window = window;
    }

    /**
     * Notes a request of a caller.
     *
     * @param now the present time
     */
    public void recordRequest(Moment now) {
        requests.addLast(now);
        expire(requests, now);
    }

    /**
     * Takes a retry if the share allows one more.
     *
     * @param entries the entries that share the burst, this one included
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
