package org.baobabspindle.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.core.time.Moment;

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

    /**
     * The part of a target time that a prediction may use. The rest covers requests of other entries that are not known
     * yet.
     */
    private static final double TARGET_SHARE = 0.8;

    /** The weight of a missed target, so that it outweighs any difference of the load. */
    private static final double VIOLATION_PENALTY = 10;

    /** The part of its target time by which a waiting request must be able to get its first event. */
    private static final double WAIT_SHARE = 0.6;

    /** The time that remains at the end of a wait, because waiting requests are considered every 50 ms at least. */
    private static final double WAIT_MARGIN_MILLIS = 60;

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
        List<Target> available = sample(choices, targets, load, usable);
        Target best = null;
        double bestScore = Double.MAX_VALUE;
        for (Target t : available) {
            double score = score(t, load.apply(t.key())) + (slow.test(t) ? SLOW_PENALTY : 0);
            if (score < bestScore) {
                best = t;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns the targets with a free slot, or as many of them as are to be compared. */
    private List<Target> sample(
            int choices, List<Target> targets, Function<String, Integer> load, Predicate<Target> usable) {
        List<Target> available = new ArrayList<>();
        for (Target t : targets) {
            if (load.apply(t.key()) < t.slots() && usable.test(t)) {
                available.add(t);
            }
        }
        for (int i = 0; choices < available.size() && i < choices; i++) {
            Collections.swap(available, i, i + random.nextInt(available.size() - i));
        }
        return available.subList(0, Math.min(choices, available.size()));
    }

    /**
     * The result of a choice by prompt tokens.
     *
     * @param target the chosen target; empty if there is none, or if the request waits
     * @param predicted the predicted effect of the request at the target that was best, if the target has a model
     * @param waits whether the request waits although targets have free slots, because it would delay other requests
     */
    public record Placement(Optional<Target> target, Optional<BatchModel.Prediction> predicted, boolean waits) {}

    /**
     * Chooses among the targets that have a free slot the one at which the request is served in time and delays others
     * the least. A long prompt that would delay others waits, as long as it can still be on time afterwards.
     *
     * @param choices how many targets, drawn at random, are compared
     * @param targets the targets
     * @param load returns the outstanding requests for the key of a target, over all entries
     * @param usable whether a target may be chosen at all
     * @param state the load of the batch of a target
     * @param request the request
     * @param limits the targets that other requests have to meet
     * @param canWait whether the request may wait at all
     * @param now the present time
     * @return the choice
     */
    public Placement chooseByTokens(
            int choices,
            List<Target> targets,
            Function<String, Integer> load,
            Predicate<Target> usable,
            Function<Target, BatchModel.Load> state,
            PromptRequest request,
            StreamLimits.Tightest limits,
            boolean canWait,
            Moment now) {
        Rating best = null;
        for (Target t : sample(choices, targets, load, usable)) {
            Rating rating = rate(t, load.apply(t.key()), state.apply(t), request, limits, now);
            if (best == null || rating.score() < best.score()) {
                best = rating;
            }
        }
        if (best == null) {
            return new Placement(Optional.empty(), Optional.empty(), false);
        }
        boolean waits = canWait && best.mayWait() && best.delays();
        return new Placement(waits ? Optional.empty() : Optional.of(best.target()), best.predicted(), waits);
    }

    /**
     * How well a target suits a request.
     *
     * @param score lower is better
     * @param delays whether other requests would be delayed beyond their targets
     * @param mayWait whether the request is long and can still be on time after it has waited
     */
    private record Rating(
            Target target, double score, boolean delays, boolean mayWait, Optional<BatchModel.Prediction> predicted) {}

    private Rating rate(
            Target t,
            int outstanding,
            BatchModel.Load load,
            PromptRequest request,
            StreamLimits.Tightest limits,
            Moment now) {
        if (t.batch().isEmpty()) {
            return new Rating(t, score(t, outstanding), false, false, Optional.empty());
        }
        BatchModel batch = t.batch().get();
        BatchModel.Prediction predicted = batch.predict(load, request.promptTokens());
        double timeLeft = request.millisLeft(now);
        double latency = Math.max(1, millis(request.targetLatency()));
        double late = Math.max(0, predicted.firstEventMillis() - Math.max(0, timeLeft) * TARGET_SHARE) / latency;
        double pause = excess(predicted.pauseMillis(), limits.gap()) * Math.max(1, predicted.streams());
        BatchModel.Load after = new BatchModel.Load(
                load.unreadTokens() + request.promptTokens(), load.outstanding() + 1, load.slowdown());
        double next =
                excess(batch.predict(after, batch.batch().meanPromptTokens()).firstEventMillis(), limits.latency());
        double score = score(t, outstanding) * load.slowdown()
                + predicted.firstEventMillis() / latency
                + VIOLATION_PENALTY * (late + pause + next);
        boolean mayWait = request.isLong(batch.batch())
                && predicted.firstEventMillis() + WAIT_MARGIN_MILLIS < timeLeft - latency * (1 - WAIT_SHARE);
        return new Rating(t, score, pause + next > 0, mayWait, Optional.of(predicted));
    }

    /** Returns by which part of a limit a predicted time exceeds the part of the limit that may be used. */
    private static double excess(double predictedMillis, Duration limit) {
        double limitMillis = Math.max(1, millis(limit));
        return Math.max(0, predictedMillis - limitMillis * TARGET_SHARE) / limitMillis;
    }

    private static double millis(Duration d) {
        return d.toNanos() / 1e6;
    }

    private double score(Target t, int outstanding) {
        double occupied = (outstanding + 1) * t.pace() / t.slots();
        double zonePenalty = t.server().zone().equals(zone) ? 0 : OTHER_ZONE_PENALTY;
        return occupied + zonePenalty + random.nextDouble() * RANDOM_SPREAD;
    }
}
