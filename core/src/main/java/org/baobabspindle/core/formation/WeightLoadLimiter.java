package org.baobabspindle.core.formation;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.baobabspindle.core.id.Checks;
import org.baobabspindle.core.time.Moment;

/**
 * Limits the rate at which one keeper starts loads of weights, over a sliding window. After a large loss, all keepers
 * have groups to load at the same time; their shares keep them together below the rate limit of the weight store
 * without any communication between them.
 */
public final class WeightLoadLimiter {
    /** The number of loads beyond the rate that the users permit in each window. */
    private static final int WINDOW_SLACK = 3;

    private final Duration window;
    private final double factor;
    private final Deque<Moment> starts = new ArrayDeque<>();

    /**
     * Creates a limiter.
     *
     * @param window the length of the sliding window
     * @param factor the factor on the rate of the weight store that the loads of a window may reach
     */
    public WeightLoadLimiter(Duration window, double factor) {
        this.window = window;
        this.factor = factor;
    }

    /**
     * The share of one keeper in the rate.
     *
     * @param rank the rank of the keeper, from 0
     * @param keepers the number of keepers
     */
    public record Share(int rank, int keepers) {
        /** Checks that the rank is below the number of keepers. */
        public Share {
            Checks.require(rank >= 0 && rank < keepers, "rank must be below " + keepers + " but was " + rank);
        }

        /**
         * Returns the loads that this keeper may start in a window. The remainder of equal parts is given to some
         * keepers, in turn by slot, so that each can load its largest group at once from time to time. A sliding window
         * overlaps two slots, so each slot gives out half of the remainder.
         */
        private int loadLimit(int loads, int largestGroup, long slot) {
            int part = loads / keepers;
            int missing = largestGroup - part;
            if (missing <= 0) {
                return part;
            }
            int remainder = (loads - part * keepers + WINDOW_SLACK) / 2;
            int keepersAtLargest = remainder / missing;
            long position = Math.floorMod(rank + slot, (long) keepers);
            return part
                    + (position < keepersAtLargest ? missing : position == keepersAtLargest ? remainder % missing : 0);
        }
    }

    /**
     * Returns how many loads may start now.
     *
     * @param perSecond the rate of the weight store, in loads per second
     * @param share the share of this keeper
     * @param largestGroup the maximum number of loads of one group
     * @param now the current time
     * @return the number of loads
     */
    public int allowed(double perSecond, Share share, int largestGroup, Moment now) {
        Moment windowStart = now.minus(window);
        while (!starts.isEmpty() && starts.peekFirst().isBefore(windowStart)) {
            starts.removeFirst();
        }
        double inWindow =
                perSecond * factor * window.toMillis() / Duration.ofSeconds(1).toMillis();
        long slot = Math.floorDiv(now.wallMillis(), window.toMillis());
        return Math.max(0, share.loadLimit((int) inWindow, largestGroup, slot) - starts.size());
    }

    /**
     * Records loads that were ordered.
     *
     * @param loads the number of loads
     * @param now the current time
     */
    public void recordStarted(int loads, Moment now) {
        for (int i = 0; i < loads; i++) {
            starts.addLast(now);
        }
    }
}
