package org.baobabspindle.core.formation;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.baobabspindle.core.time.Moment;

/** The loads of weights that one keeper may begin; all keepers together stay under the rate of the weight store. */
public final class LoadAllowance {
    private final Duration window;
    private final Deque<Moment> begun = new ArrayDeque<>();

    /**
     * Creates an allowance.
     *
     * @param window the time in which loads are counted
     */
    public LoadAllowance(Duration window) {
        this.window = window;
    }

    /**
     * Returns how many loads may begin now.
     *
     * @param perSecond the rate of the weight store
     * @param keepers the keepers that share it
     * @param atLeast the loads that one group may need; a keeper may always form one in each window
     * @param now the present time
     * @return the loads
     */
    public int allowed(double perSecond, int keepers, int atLeast, Moment now) {
        Moment old = now.minus(window);
        while (!begun.isEmpty() && begun.peekFirst().isBefore(old)) {
            begun.removeFirst();
        }
        double share = perSecond * window.toMillis() / Duration.ofSeconds(1).toMillis() / keepers;
        return Math.max(0, (int) Math.max(atLeast, share) - begun.size());
    }

    /**
     * Notes loads that were ordered.
     *
     * @param loads their number
     * @param now the present time
     */
    public void begun(int loads, Moment now) {
        for (int i = 0; i < loads; i++) {
            begun.addLast(now);
        }
    }
}
