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
 * Finds groups whose streams are much slower than those of others with the same model. Answers a member that has turned
 * slow: its group answers probes and sends events, but each of its streams is late.
 */
public final class SlowTargetDetector {
    /** The weight of one pause in the average; some twenty pauses, a second of one stream, decide. */
    private static final double WEIGHT = 0.05;

    /** The pauses without which a group is not judged. */
    private static final int LEAST_PAUSES = 15;

    /** How many times the median pause a slow group takes; a full batch takes less than this beside an empty one. */
    private static final double SLOW = 1.8;

    /** Groups that must be known before one can be called slow; of two, either may be the usual one. */
    private static final int LEAST_GROUPS = 3;

    /** How long a finding counts without a pause seen; a slow group is then tried again. */
    private static final Duration MEMORY = Duration.ofSeconds(3);

    private final Map<String, Pace> paces = new HashMap<>();

    /** Creates a watch that knows no group. */
    public SlowTargetDetector() {}

    private static final class Pace {
        private double millis;
        private int pauses;
        private Moment seenAt;
    }

    /**
     * Notes the pause between two events of a stream.
     *
     * @param target the key of the target
     * @param pause the pause
     * @param now the present time
     */
    public void recordInterval(String target, Duration pause, Moment now) {
        Pace p = paces.computeIfAbsent(target, t -> new Pace());
        double weight = Math.max(WEIGHT, 1.0 / (p.pauses + 1));
        p.millis += weight * (pause.toNanos() / 1e6 - p.millis);
        p.pauses++;
        p.seenAt = now;
    }

    /**
     * Returns the slow ones among targets that should be alike. If half of them or more are, none is: then it is the load.
     *
     * @param targets the keys of targets with the same model
     * @param now the present time
     * @return the keys of the slow ones
     */
    public Set<String> slowTargets(Collection<String> targets, Moment now) {
        paces.values().removeIf(p -> now.since(p.seenAt).compareTo(MEMORY) > 0);
        List<Double> known = new ArrayList<>();
        for (String t : targets) {
            Pace p = paces.get(t);
            if (p != null && p.pauses >= LEAST_PAUSES) {
                known.add(p.millis);
            }
        }
        if (known.size() < LEAST_GROUPS) {
            return Set.of();
        }
        Collections.sort(known);
        double limit = known.get((known.size() - 1) / 2) * SLOW;
        Set<String> slow = new HashSet<>();
        for (String t : targets) {
            Pace p = paces.get(t);
            if (p != null && p.pauses >= LEAST_PAUSES && p.millis > limit) {
                slow.add(t);
            }
        }
        return slow.size() * 2 >= known.size() ? Set.of() : slow;
    }
}
