package org.baobabspindle.core.dispatch;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.baobabspindle.core.id.AvailabilityZone;

/**
 * Chooses the target with the lowest score for a request. The score is the share of occupied slots, weighted with the
 * pace of the target, plus penalties. A random part spreads requests over targets of about equal load, because several
 * entries choose at the same time.
 */
public final class TargetChooser {
    /** The score penalty of a target in another zone; about one request of twelve slots. */
    private static final double OTHER_ZONE_PENALTY = 0.08;

    /** The maximum random part of a score, for entries that know the same counts; about one request of twelve slots. */
    private static final double RANDOM_SPREAD = 0.08;

    /**
     * The score penalty of a slow target, whose streams are late; it is used only once the others are that much fuller.
     */
    private static final double SLOW_PENALTY = 0.6;

    private final AvailabilityZone zone;
    private final RandomGenerator random;

    /**
     * Creates a chooser.
     *
     * @param zone the availability zone of this entry
     * @param random the source of the random part of the scores
     */
    public TargetChooser(AvailabilityZone zone, RandomGenerator random) {
        this.zone = zone;
        this.random = random;
    }

    /**
     * Chooses among the targets that have a free slot.
     *
     * @param choices how many of them, drawn at random, are compared; a low number if many entries know the same stale
     *     counts, because otherwise all of them would send to the target that was the emptiest
     * @param targets the targets
     * @param load returns the outstanding requests for the key of a target, over all entries
     * @param usable whether a target may be chosen at all
     * @param slow whether a target is slower than others with the same model
     * @return the target; empty if no usable target has a free slot
     */
    public Optional<Target> choose(
            int choices,
            List<Target> targets,
            Function<String, Integer> load,
            Predicate<Target> usable,
            Predicate<Target> slow) {
        List<Target> available = new ArrayList<>();
        for (Target t : targets) {
            if (load.apply(t.key()) < t.slots() && usable.test(t)) {
                available.add(t);
            }
        }
        for (int i = 0; choices < available.size() && i < choices; i++) {
            Collections.swap(available, i, i + random.nextInt(available.size() - i));
        }
        Target best = null;
        double bestScore = Double.MAX_VALUE;
        for (Target t : available.subList(0, Math.min(choices, available.size()))) {
            double score = score(t, load.apply(t.key())) + (slow.test(t) ? SLOW_PENALTY : 0);
            if (score < bestScore) {
                best = t;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }

    private double score(Target t, int outstanding) {
        double occupied = (outstanding + 1) * t.pace() / t.slots();
        double zonePenalty = t.server().zone().equals(zone) ? 0 : OTHER_ZONE_PENALTY;
        return occupied + zonePenalty + random.nextDouble() * RANDOM_SPREAD;
    }
}
