package org.baobabspindle.core.dispatch;

import java.time.Duration;
import org.baobabspindle.core.time.Moment;

/** Computes the time limits of requests that wait for a slot, and predicts how long they will wait. */
public final class WaitingPolicy {
    /**
     * The usual time from getting a slot to the first event, for a prompt of about 1000 tokens at a half-full group.
     */
    private static final Duration FIRST_EVENT_LATENCY = Duration.ofMillis(150);

    /** The maximum wait; callers leave a stream about two seconds after their request if no event has arrived. */
    private static final Duration MAX_WAIT = Duration.ofMillis(1_200);

    /** The predicted wait if a request cannot be served at all. */
    private static final Duration NEVER = Duration.ofDays(1);

    private WaitingPolicy() {}

    /**
     * Returns the time limits of a waiting request.
     *
     * @param receivedAt when the request was received
     * @param targetLatency the time after which an answer counts as late
     * @param timeAllowed the time from receipt to the deadline of the request
     * @return the time limits
     */
    public static RequestQueue.WaitLimits waitLimits(Moment receivedAt, Duration targetLatency, Duration timeAllowed) {
        Duration onTimeWait = targetLatency.compareTo(FIRST_EVENT_LATENCY) > 0
                ? targetLatency.minus(FIRST_EVENT_LATENCY)
                : Duration.ZERO;
        Duration half = timeAllowed.dividedBy(2);
        Duration giveUpAfter = MAX_WAIT.compareTo(half) < 0 ? MAX_WAIT : half;
        return new RequestQueue.WaitLimits(receivedAt.plus(onTimeWait), receivedAt.plus(giveUpAfter));
    }

    /**
     * Predicts the wait of a request that joins the end of a queue.
     *
     * @param ahead the number of requests in the queue of this entry; other entries are assumed to have as many
     * @param slots the slots of all targets
     * @param entries the number of entries that share the targets
     * @param serviceTime how long a request holds a slot
     * @return the predicted wait; one day if there are no slots
     */
    public static Duration predictedWait(int ahead, int slots, int entries, Duration serviceTime) {
        if (slots == 0) {
            return NEVER;
        }
        return serviceTime.multipliedBy((long) ahead * entries).dividedBy(slots);
    }

    /**
     * Predicts the wait of a request until a number of requests has been sent to the targets.
     *
     * @param requests the number of requests, at least 0
     * @param perSecond the rate at which this entry can send requests to all targets
     * @return the predicted wait, at most one day
     */
    public static Duration predictedWait(int requests, double perSecond) {
        double seconds = requests / perSecond;
        return seconds < NEVER.toSeconds() ? Duration.ofMillis((long) (seconds * 1_000)) : NEVER;
    }
}
