package org.baobabspindle.core.dispatch;

import java.time.Duration;
import org.baobabspindle.core.time.Moment;

/** How long a request may wait for a slot, and when waiting is known to be in vain from the start. */
public final class WaitingPolicy {
    /** The usual time from a slot to the first event; a prompt of about a thousand tokens at a half-full group. */
    private static final Duration FIRST_EVENT = Duration.ofMillis(150);

    /** Callers leave a stream about two seconds after they asked for it; the first event must come before. */
    private static final Duration LATE_WAIT = Duration.ofMillis(1_200);

    private WaitingPolicy() {}

    /**
     * Says how long waiting is useful.
     *
     * @param receivedAt when the request came
     * @param targetLatency the time within which an answer is worth most
     * @param timeAllowed the time until its deadline, counted from when it came
     * @return the bounds
     */
    public static RequestQueue.WaitLimits waitLimits(Moment receivedAt, Duration targetLatency, Duration timeAllowed) {
        Duration onTime = targetLatency.compareTo(FIRST_EVENT) > 0 ? targetLatency.minus(FIRST_EVENT) : Duration.ZERO;
        Duration half = timeAllowed.dividedBy(2);
        Duration late = LATE_WAIT.compareTo(half) < 0 ? LATE_WAIT : half;
        return new RequestQueue.WaitLimits(receivedAt.plus(onTime), receivedAt.plus(late));
    }

    /**
     * Predicts the wait of a request that joins the end of a line.
     *
     * @param ahead the requests that wait already
     * @param slots the slots of all targets
     * @param entries the entries that share the targets
     * @param slotTime the time that a request holds a slot
     * @return the wait
     */
    public static Duration predictedWait(int ahead, int slots, int entries, Duration slotTime) {
        if (slots == 0) {
            return Duration.ofDays(1);
        }
        return slotTime.multipliedBy((long) ahead * entries).dividedBy(slots);
    }
}
