package org.baobabspindle.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.baobabspindle.core.time.Moment;

/**
 * Notices groups that take requests and serve none. Answers the loss of a member: the head keeps its streams open and
 * nothing moves for seconds, while a sound group sends an event every few steps.
 */
public final class StallDetector {
    /** The silence of running streams that raises a doubt; several times the pause between events in a full batch. */
    public static final Duration RUNNING_STALL_TIMEOUT = Duration.ofMillis(250);

    /** The silence before the first event that raises a doubt; twice the usual time to a first event. */
    public static final Duration FIRST_EVENT_TIMEOUT = Duration.ofMillis(500);

    /** The silence that agrees with another entry's finding; longer than the pause between two events. */
    private static final Duration QUIET = Duration.ofMillis(120);

    /** How long a group that proved sound is not doubted again. */
    private static final Duration REPRIEVE = Duration.ofSeconds(1);

    private final Map<String, Watched> watched = new HashMap<>();

    /** Creates a watch over no target. */
    public StallDetector() {}

    private static final class Watched {
        private int starting;
        private int running;
        private Moment lastSign;
        private Moment reprievedUntil;

        Watched(Moment now) {
            this.lastSign = now;
            this.reprievedUntil = now;
        }
    }

    /**
     * Notes that a request was sent.
     *
     * @param target the key of the target
     * @param now the present time
     */
    public void requestSent(String target, Moment now) {
        Watched w = watched.computeIfAbsent(target, t -> new Watched(now));
        if (w.starting + w.running == 0) {
            w.lastSign = now;
        }
        w.starting++;
    }

    /**
     * Notes an event of a stream.
     *
     * @param target the key of the target
     * @param first whether it is the first of its stream
     * @param now the present time
     */
    public void eventReceived(String target, boolean first, Moment now) {
        Watched w = watched.get(target);
        if (w == null) {
            return;
        }
        w.lastSign = now;
        if (first) {
            w.starting--;
            w.running++;
        }
    }

    /**
     * Notes the end of a request.
     *
     * @param target the key of the target
     * @param started whether it had sent an event
     */
    public void requestEnded(String target, boolean started) {
        Watched w = watched.get(target);
        if (w == null) {
            return;
        }
        if (started) {
            w.running--;
        } else {
            w.starting--;
        }
        if (w.running + w.starting <= 0) {
            watched.remove(target);
        }
    }

    /**
     * Notes that a doubted target proved sound.
     *
     * @param target the key of the target
     * @param now the present time
     */
    public void clearSuspicion(String target, Moment now) {
        Watched w = watched.get(target);
        if (w != null) {
            w.reprievedUntil = now.plus(REPRIEVE);
        }
    }

    /**
     * Tells whether nothing that this entry sees speaks for a target that another entry finds lost.
     *
     * @param target the key of the target
     * @param now the present time
     * @return whether the target has sent no event for some steps
     */
    public boolean hasNoRecentEvent(String target, Moment now) {
        Watched w = watched.get(target);
        return w == null || !now.isBefore(w.lastSign.plus(QUIET));
    }

    /**
     * Returns the targets to doubt, each once until it proved sound or a reprieve has passed.
     *
     * @param now the present time
     * @return the keys of the targets
     */
    public List<String> newSuspects(Moment now) {
        List<String> result = new ArrayList<>();
        for (Iterator<Map.Entry<String, Watched>> i = watched.entrySet().iterator(); i.hasNext(); ) {
            Map.Entry<String, Watched> e = i.next();
            Watched w = e.getValue();
            Duration limit = w.running > 0 ? RUNNING_STALL_TIMEOUT : FIRST_EVENT_TIMEOUT;
            if (now.isBefore(w.lastSign.plus(limit)) || now.isBefore(w.reprievedUntil)) {
                continue;
            }
            w.reprievedUntil = now.plus(REPRIEVE);
            result.add(e.getKey());
        }
        return result;
    }
}
