package org.baobabspindle.core.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.baobabspindle.core.time.Moment;

/**
 * Estimates the offered load of each model: the slots that its requests would occupy if none were refused, which is the
 * arrival rate times the mean service time. The running requests cannot show a shortage of groups, because they never
 * exceed the slots.
 */
public final class OfferedLoad {
    /** The time constant of the average arrival rate; short enough to follow a burst of a few seconds. */
    private static final Duration AVERAGING_TIME = Duration.ofSeconds(3);

    /** The weight of one request in the moving average of the service time. */
    private static final double SERVICE_TIME_WEIGHT = 0.05;

    /** The assumed service time until the first request has ended, in seconds. */
    private static final double INITIAL_SERVICE_SECONDS = 1;

    private final Map<String, Rate> rates = new HashMap<>();

    /** Creates an estimate without requests. */
    public OfferedLoad() {}

    private static final class Rate {
        private double recentArrivals;
        private double meanServiceSeconds = INITIAL_SERVICE_SECONDS;
        private Moment updatedAt;

        Rate(Moment now) {
            this.updatedAt = now;
        }

        void decay(Moment now) {
            double elapsed = (double) (now.monotonicNanos() - updatedAt.monotonicNanos()) / AVERAGING_TIME.toNanos();
            recentArrivals *= Math.exp(-elapsed);
            updatedAt = now;
        }
    }

    /**
     * Records the arrival of a request, including one that will be refused.
     *
     * @param model the model
     * @param now the present time
     */
    public void recordArrival(String model, Moment now) {
        Rate rate = rates.computeIfAbsent(model, m -> new Rate(now));
        rate.decay(now);
        rate.recentArrivals++;
    }

    /**
     * Records the service time of a request.
     *
     * @param model the model
     * @param time how long the request held a slot
     */
    public void recordServiceTime(String model, Duration time) {
        Rate rate = rates.get(model);
        if (rate != null) {
            double seconds = time.toNanos() / (double) Duration.ofSeconds(1).toNanos();
            rate.meanServiceSeconds += SERVICE_TIME_WEIGHT * (seconds - rate.meanServiceSeconds);
        }
    }

    /**
     * Returns the mean service time, which is how long a request holds a slot.
     *
     * @param model the model
     * @return the moving average over the requests that have ended; 1 s before any has ended
     */
    public Duration meanServiceTime(String model) {
        Rate rate = rates.get(model);
        double seconds = rate == null ? INITIAL_SERVICE_SECONDS : rate.meanServiceSeconds;
        return Duration.ofNanos((long) (seconds * Duration.ofSeconds(1).toNanos()));
    }

    /**
     * Returns the slots that the offered requests would occupy.
     *
     * @param now the present time
     * @return the slots by model; models without recent requests are omitted
     */
    public Map<String, Double> requiredSlots(Moment now) {
        Map<String, Double> result = new HashMap<>();
        rates.forEach((model, rate) -> {
            rate.decay(now);
            double perSecond = rate.recentArrivals * Duration.ofSeconds(1).toNanos() / AVERAGING_TIME.toNanos();
            if (perSecond > 0.01) {
                result.put(model, perSecond * rate.meanServiceSeconds);
            }
        });
        return result;
    }
}
