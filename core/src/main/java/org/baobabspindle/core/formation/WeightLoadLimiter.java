package org.baobabspindle.core.formation;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.baobabspindle.core.id.Checks;
import org.baobabspindle.core.time.Moment;

/**
 * The loads of weights that one keeper may begin. Answers a great loss, after which all keepers have groups to load at once: all
 * of them together stay under the rate of the weight store, whether they hear each other or not.
 */
public final class WeightLoadLimiter {
    /** The loads that users allow beyond the rate in each window. */
    private static final int SLACK = 3;

    private final Duration window;
    private final double factor;
    private final Deque<Moment> recordStarted = new ArrayDeque<>();

    /**
     * Creates an allowance.
     *
     * @param window the time in which loads are counted
     * @param factor how far the loads of a window may exceed the rate of the weight store
     */
    public WeightLoadLimiter(Duration window, double factor) {
        this.window = window;
        this.factor = factor;
    }

    /**
     * The place of a keeper among those that share the rate.
     *
     * @param rank how many come before it
     * @param keepers their number
     */
    public record Share(int rank, int keepers) {
        /** Checks the place. */
        public Share {
            Checks.require(rank >= 0 && rank < keepers, "rank must be below " + keepers + " but was " + rank);
        }

        /**
         * Divides the loads of a window. What equal parts leave over lets some keepers load their largest group at once, others in
         * the next slot; any window meets two slots, so each gives half of it.
         */
        private int of(int loads, int largestGroup, long slot) {
            int part = loads / keepers;
            int lacking = largestGroup - part;
            if (lacking <= 0) {
                return part;
            }
            int over = (loads - part * keepers + SLACK) / 2;
            int whole = over / lacking;
            long place = Math.floorMod(rank + slot, (long) keepers);
            return part + (place < whole ? lacking : place == whole ? over % lacking : 0);
        }
    }

    /**
     * Returns how many loads may begin now.
     *
     * @param perSecond the rate of the weight store
     * @param share the keeper's place
     * @param largestGroup the loads that one group may need
     * @param now the present time
     * @return the loads
     */
    public int allowed(double perSecond, Share share, int largestGroup, Moment now) {
        Moment old = now.minus(window);
        while (!recordStarted.isEmpty() && recordStarted.peekFirst().isBefore(old)) {
            recordStarted.removeFirst();
        }
        double inWindow =
                perSecond * factor * window.toMillis() / Duration.ofSeconds(1).toMillis();
        long slot = Math.floorDiv(now.wallMillis(), window.toMillis());
        return Math.max(0, share.of((int) inWindow, largestGroup, slot) - recordStarted.size());
    }

    /**
     * Notes loads that were ordered.
     *
     * @param loads their number
     * @param now the present time
     */
    public void recordStarted(int loads, Moment now) {
        for (int i = 0; i < loads; i++) {
            recordStarted.addLast(now);
        }
    }
}
