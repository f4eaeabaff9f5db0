package org.baobabspindle.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.baobabspindle.core.time.Moment;

/**
 * Detects groups that accept requests but make no progress. After the loss of a member, the head keeps its streams open
 * and sends nothing for seconds, while a healthy group sends an event every few steps.
 */
public final class StallDetector {
    /**
     * The time without an event on running streams that raises a suspicion; several event intervals of a full batch.
     */
    public static final Duration RUNNING_STALL_TIMEOUT = Duration.ofMillis(250);

    /**
     * The time without an event before the first event that raises a suspicion; twice the usual time to first event.
     */
    public static final Duration FIRST_EVENT_TIMEOUT = Duration.ofMillis(500);

    /**
     * The time without an event that corroborates the suspicion of another entry; longer than the interval of events.
     */
    private static final Duration CORROBORATION_TIMEOUT = Duration.ofMillis(120);

    /** How long a group is not suspected again after a suspicion or after a check that found it healthy. */
    private static final Duration RESUSPECT_DELAY = Duration.ofSeconds(1);

    private final Map<String, Activity> activities = new HashMap<>();

    /** Creates a detector without targets. */
    public StallDetector() {}

    private static final class Activity {
        private int awaitingFirstEvent;
        private int streaming;
        private Moment lastEventAt;
        private Moment notSuspectedUntil;

        Activity(Moment now) {
            this.lastEventAt = now;
            this.notSuspectedUntil = now;
        }
    }

    /**
     * Records that a request was sent.
     *
     * @param target the key of the target
     * @param now the present time
     */
    public void requestSent(String target, Moment now) {
        Activity activity = activities.computeIfAbsent(target, t -> new Activity(now));
        if (activity.awaitingFirstEvent + activity.streaming == 0) {
            activity.lastEventAt = now;
        }
        activity.awaitingFirstEvent++;
    }

    /**
     * Records an event of a stream.
     *
     * @param target the key of the target
     * @param first whether it is the first of its stream
     * @param now the present time
     */
    public void eventReceived(String target, boolean first, Moment now) {
        Activity activity = activities.get(target);
        if (activity == null) {
            return;
        }
        activity.lastEventAt = now;
        if (first) {
            activity.awaitingFirstEvent--;
            activity.streaming++;
        }
    }

    /**
     * Records the end of a request.
     *
     * @param target the key of the target
     * @param started whether its stream had sent an event
     */
    public void requestEnded(String target, boolean started) {
        Activity activity = activities.get(target);
        if (activity == null) {
            return;
        }
        if (started) {
            activity.streaming--;
        } else {
            activity.awaitingFirstEvent--;
        }
        if (activity.streaming + activity.awaitingFirstEvent <= 0) {
            activities.remove(target);
        }
    }

    /**
     * Records that a suspected target was found healthy.
     *
     * @param target the key of the target
     * @param now the present time
     */
    public void clearSuspicion(String target, Moment now) {
        Activity activity = activities.get(target);
        if (activity != null) {
            activity.notSuspectedUntil = now.plus(RESUSPECT_DELAY);
        }
    }

    /**
     * Returns whether the observations of this entry agree with the suspicion of another entry.
     *
     * @param target the key of the target
     * @param now the present time
     * @return true if this entry has no request at the target, or the target has sent no event for several steps
     */
    public boolean hasNoRecentEvent(String target, Moment now) {
        Activity activity = activities.get(target);
        return activity == null || !now.isBefore(activity.lastEventAt.plus(CORROBORATION_TIMEOUT));
    }

    /**
     * Returns the newly suspected targets. After a suspicion, or after a check that found it healthy, a target is not
     * returned again for a second.
     *
     * @param now the present time
     * @return the keys of the targets
     */
    public List<String> newSuspects(Moment now) {
        List<String> result = new ArrayList<>();
        for (Iterator<Map.Entry<String, Activity>> i = activities.entrySet().iterator(); i.hasNext(); ) {
            Map.Entry<String, Activity> e = i.next();
            Activity activity = e.getValue();
            Duration limit = activity.streaming > 0 ? RUNNING_STALL_TIMEOUT : FIRST_EVENT_TIMEOUT;
            if (now.isBefore(activity.lastEventAt.plus(limit)) || now.isBefore(activity.notSuspectedUntil)) {
                continue;
            }
            activity.notSuspectedUntil = now.plus(RESUSPECT_DELAY);
            result.add(e.getKey());
        }
        return result;
    }
}
