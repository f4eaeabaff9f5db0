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
 * Chooses the target of a request: the one with the smallest share of its slots taken. Answers steady load over targets
 * of different pace, and several entries that choose at the same time: targets about equally loaded are chosen at random.
 */
public final class TargetChooser {
    /** How much fuller a target of this entry's own zone may be; about one request of twelve slots. */
    private static final double OTHER_ZONE_PENALTY = 0.08;

    /** Spreads the choices of entries that know the same counts; about one request of twelve slots. */
    private static final double SPREAD = 0.08;

    /** How much fuller the others may be before a slow target is used; its streams are late. */
    private static final double SLOW_PENALTY = 0.6;

    private final AvailabilityZone zone;
    private final RandomGenerator random;

    /**
     * Creates a chooser.
     *
     * @param zone the availability zone of this entry
     * @param random spreads the choices
     */
    public TargetChooser(AvailabilityZone zone, RandomGenerator random) {
        this.zone = zone;
        this.random = random;
    }

    /**
     * Chooses among the targets that have a slot free.
     *
     * @param choices how many of them, drawn at random, are compared; few where many entries know the same old counts, since
     *     all of them would else send to the one that was emptiest then
     * @param targets the targets
     * @param load the requests outstanding at a target, over all entries
     * @param usable whether a target may be chosen at all
     * @param slow whether a target is slower than others of its kind
     * @return the target; empty if none has a slot free
     */
    public Optional<Target> choose(
            int choices,
            List<Target> targets,
            Function<String, Integer> load,
            Predicate<Target> usable,
            Predicate<Target> slow) {
        List<Target> open = new ArrayList<>();
        for (Target t : targets) {
            if (load.apply(t.key()) < t.slots() && usable.test(t)) {
                open.add(t);
            }
        }
        for (int i = 0; choices < open.size() && i < choices; i++) {
            Collections.swap(open, i, i + random.nextInt(open.size() - i));
        }
        Target best = null;
        double bestScore = Double.MAX_VALUE;
        for (Target t : open.subList(0, Math.min(choices, open.size()))) {
            double score = score(t, load.apply(t.key())) + (slow.test(t) ? SLOW_PENALTY : 0);
            if (score < bestScore) {
                best = t;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }

    private double score(Target t, int outstanding) {
        double taken = (outstanding + 1) * t.pace() / t.slots();
        double distance = t.server().zone().equals(zone) ? 0 : OTHER_ZONE_PENALTY;
        return taken + distance + random.nextDouble() * SPREAD;
    }
}
