package org.baobabspindle.core.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.baobabspindle.core.time.Moment;

/**
 * The slots that the requests for each model would fill if none were refused: their rate times the time that one takes.
 * Answers a model that is short of groups, whose running requests alone never show more demand than it has slots.
 */
public final class OfferedLoad {
    /** The time over which the rate is averaged; short enough to follow a burst of a few seconds. */
    private static final Duration MEMORY = Duration.ofSeconds(3);

    /** The weight of one request's time in the average. */
    private static final double TIME_WEIGHT = 0.05;

    /** The time that a request is taken to need before any has ended, in seconds. */
    private static final double FIRST_GUESS_SECONDS = 1;

    private final Map<String, Rate> rates = new HashMap<>();

    /** Creates a load of zero. */
    public OfferedLoad() {}

    private static final class Rate {
        private double recent;
        private double serviceSeconds = FIRST_GUESS_SECONDS;
        private Moment at;

        Rate(Moment now) {
            this.at = now;
        }

        void decay(Moment now) {
            double passed = (double) (now.monotonicNanos() - at.monotonicNanos()) / MEMORY.toNanos();
            recent *= Math.exp(-passed);
            at = now;
        }
    }

    /**
     * Notes a request, also one that will be refused.
     *
     * @param model the model
     * @param now the present time
     */
    public void recordArrival(String model, Moment now) {
        Rate r = rates.computeIfAbsent(model, m -> new Rate(now));
        r.decay(now);
        r.recent++;
    }

    /**
     * Notes the time that a request held a slot.
     *
     * @param model the model
     * @param time the time
     */
    public void recordServiceTime(String model, Duration time) {
        Rate r = rates.get(model);
        if (r != null) {
            double seconds = time.toNanos() / (double) Duration.ofSeconds(1).toNanos();
            r.serviceSeconds += TIME_WEIGHT * (seconds - r.serviceSeconds);
        }
    }

    /**
     * Returns the time that a request holds a slot.
     *
     * @param model the model
     * @return the average of those that have ended
     */
    public Duration meanServiceTime(String model) {
        Rate r = rates.get(model);
        double seconds = r == null ? FIRST_GUESS_SECONDS : r.serviceSeconds;
        return Duration.ofNanos((long) (seconds * Duration.ofSeconds(1).toNanos()));
    }

    /**
     * Returns the slots that the requests would fill.
     *
     * @param now the present time
     * @return the slots by model; models without recent requests are left out
     */
    public Map<String, Double> requiredSlots(Moment now) {
        Map<String, Double> result = new HashMap<>();
        rates.forEach((model, r) -> {
            r.decay(now);
            double perSecond = r.recent * Duration.ofSeconds(1).toNanos() / MEMORY.toNanos();
            if (perSecond > 0.01) {
                result.put(model, perSecond * r.serviceSeconds);
            }
        });
        return result;
    }
}
