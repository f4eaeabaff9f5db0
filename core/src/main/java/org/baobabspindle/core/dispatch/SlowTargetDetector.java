package org.baobabspindle.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.baobabspindle.core.time.Moment;

/**
 * Detects groups whose streams are much slower than those of other groups with the same model. A group with a slow
 * member still answers probes and sends events, but each of its streams is late.
 */
public final class SlowTargetDetector {
    /**
     * The weight of one interval in the moving average; about twenty intervals, a second of one stream, dominate it.
     */
    private static final double INTERVAL_WEIGHT = 0.05;

    /** The minimum number of intervals before a group is compared with others. */
    private static final int MIN_INTERVALS = 15;

    /**
     * The multiple of the median interval above which a group is slow; a full batch stays below it next to an empty
     * one.
     */
    private static final double SLOW_FACTOR = 1.8;

    /** The minimum number of groups to compare; of two, either could be the normal one. */
    private static final int MIN_GROUPS = 3;

    /** How long an average stays valid without a new interval; a slow group is then tried again. */
    private static final Duration AVERAGE_LIFETIME = Duration.ofSeconds(3);

    private final Map<String, IntervalAverage> averages = new HashMap<>();

    /** Creates a detector without observations. */
    public SlowTargetDetector() {}

    private static final class IntervalAverage {
        private double meanMillis;
        private int intervals;
        private Moment updatedAt;
    }

    /**
     * Records the interval between two events of a stream.
     *
     * @param target the key of the target
     * @param interval the interval
     * @param now the present time
     */
    public void recordInterval(String target, Duration interval, Moment now) {
        IntervalAverage average = averages.computeIfAbsent(target, t -> new IntervalAverage());
        double weight = Math.max(INTERVAL_WEIGHT, 1.0 / (average.intervals + 1));
        average.meanMillis += weight * (interval.toNanos() / 1e6 - average.meanMillis);
        average.intervals++;
        average.updatedAt = now;
    }

    /**
     * Returns the mean interval of a target as a multiple of the median of targets that should be equally fast.
     *
     * @param target the key of the target
     * @param targets the keys of targets with the same model
     * @return the multiple; 1 if too few intervals were observed
     */
    public double relativeInterval(String target, Collection<String> targets) {
        List<Double> means = means(targets);
        IntervalAverage average = averages.get(target);
        if (means.size() < MIN_GROUPS || average == null || average.intervals < MIN_INTERVALS) {
            return 1;
        }
        return average.meanMillis / means.get((means.size() - 1) / 2);
    }

    private List<Double> means(Collection<String> targets) {
        List<Double> means = new ArrayList<>();
        for (String t : targets) {
            IntervalAverage average = averages.get(t);
            if (average != null && average.intervals >= MIN_INTERVALS) {
                means.add(average.meanMillis);
            }
        }
        Collections.sort(means);
        return means;
    }

    /**
     * Returns the slow targets among targets that should be equally fast. If half of the compared targets or more are
     * slow, the load is the cause and none is returned.
     *
     * @param targets the keys of targets with the same model
     * @param now the present time
     * @return the keys of the slow targets
     */
    public Set<String> slowTargets(Collection<String> targets, Moment now) {
        averages.values().removeIf(average -> now.since(average.updatedAt).compareTo(AVERAGE_LIFETIME) > 0);
        List<Double> means = means(targets);
        if (means.size() < MIN_GROUPS) {
            return Set.of();
        }
        double limit = means.get((means.size() - 1) / 2) * SLOW_FACTOR;
        Set<String> slow = new HashSet<>();
        for (String t : targets) {
            IntervalAverage average = averages.get(t);
            if (average != null && average.intervals >= MIN_INTERVALS && average.meanMillis > limit) {
                slow.add(t);
            }
        }
        return slow.size() * 2 >= means.size() ? Set.of() : slow;
    }
}
