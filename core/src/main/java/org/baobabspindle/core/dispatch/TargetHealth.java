package org.baobabspindle.core.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.baobabspindle.core.time.Moment;

/**
 * Excludes targets for a limited time after consecutive failed requests. This covers backend servers that fail or drop
 * requests while they report that they are healthy.
 */
public final class TargetHealth {
    /**
     * The consecutive failures that exclude a target; rare for a healthy target that loses three answers in a hundred.
     */
    private static final int EXCLUSION_FAILURES = 2;

    /**
     * The consecutive answers of another instance that exclude a target; rare for a server that rejects single requests so.
     */
    private static final int EXCLUSION_OTHER_INSTANCE_ANSWERS = 5;

    /** The duration of the first exclusion; as long as a few requests. */
    private static final Duration MIN_EXCLUSION = Duration.ofSeconds(1);

    /** The maximum duration of an exclusion; a target that recovers is used again within this time. */
    private static final Duration MAX_EXCLUSION = Duration.ofSeconds(8);

    private final Map<String, Rating> ratings = new HashMap<>();

    /** Creates ratings in which no target is excluded. */
    public TargetHealth() {}

    private record Rating(
            int failures, int otherInstanceAnswers, Duration exclusion, Moment until, boolean untilResponse) {
        static Rating initial(Moment now) {
            return new Rating(0, 0, MIN_EXCLUSION.dividedBy(2), now, false);
        }

        /** Returns the rating with an exclusion that lasts twice as long as the last one, up to a maximum duration. */
        Rating excluded(int newFailures, int newOtherInstanceAnswers, Moment now) {
            Duration doubled = exclusion.multipliedBy(2);
            Duration next = doubled.compareTo(MAX_EXCLUSION) > 0 ? MAX_EXCLUSION : doubled;
            return new Rating(newFailures, newOtherInstanceAnswers, next, now.plus(next), false);
        }
    }

    /**
     * Records a successful request, which ends the exclusion of the target.
     *
     * @param target the key of the target
     */
    public void recordSuccess(String target) {
        ratings.remove(target);
    }

    /**
     * Records a failed request. Each exclusion lasts twice as long as the one before, up to a maximum duration.
     *
     * @param target the key of the target
     * @param now the present time
     * @return whether this failure excludes the target
     */
    public boolean recordFailure(String target, Moment now) {
        Rating old = ratings.getOrDefault(target, Rating.initial(now));
        int failures = old.failures() + 1;
        if (failures < EXCLUSION_FAILURES) {
            ratings.put(target, new Rating(failures, 0, old.exclusion(), old.until(), old.untilResponse()));
            return false;
        }
        ratings.put(target, old.excluded(EXCLUSION_FAILURES - 1, 0, now));
        return true;
    }

    /**
     * Records that another instance answered at the address of a target. After some such answers in a row, the target is
     * excluded as after failures, since it may be the copy of another record.
     *
     * @param target the key of the target
     * @param now the present time
     */
    public void recordOtherInstance(String target, Moment now) {
        Rating old = ratings.getOrDefault(target, Rating.initial(now));
        int answers = old.otherInstanceAnswers() + 1;
        if (answers >= EXCLUSION_OTHER_INSTANCE_ANSWERS) {
            ratings.put(target, old.excluded(old.failures(), answers - 1, now));
            return;
        }
        Moment until = old.until().isBefore(now) ? now : old.until();
        ratings.put(target, new Rating(old.failures(), answers, old.exclusion(), until, old.untilResponse()));
    }

    /**
     * Excludes a target that does not respond until it responds, or until a given time at the latest.
     *
     * @param target the key of the target
     * @param until the end of the exclusion
     */
    public void excludeUntil(String target, Moment until) {
        ratings.put(target, new Rating(EXCLUSION_FAILURES - 1, 0, MIN_EXCLUSION, until, true));
    }

    /**
     * Records that a target has responded to a probe or within a request in progress, which ends its exclusion for not
     * responding.
     *
     * @param target the key of the target
     */
    public void recordResponse(String target) {
        Rating r = ratings.get(target);
        if (r != null && r.untilResponse()) {
            ratings.remove(target);
        }
    }

    /**
     * Returns whether a target may be used.
     *
     * @param target the key of the target
     * @param now the present time
     * @return whether the target is not excluded
     */
    public boolean isUsable(String target, Moment now) {
        Rating r = ratings.get(target);
        return r == null || !now.isBefore(r.until());
    }

    /**
     * Returns when a target may be used again.
     *
     * @param target the key of the target
     * @param now the present time
     * @return the end of its exclusion; the present time if it is not excluded
     */
    public Moment usableAt(String target, Moment now) {
        return isUsable(target, now) ? now : ratings.get(target).until();
    }

    /** Forgets all failures and ends all exclusions. */
    public void reset() {
        ratings.clear();
    }

    /**
     * Removes the ratings of targets whose exclusion ended long ago.
     *
     * @param now the present time
     */
    public void expire(Moment now) {
        ratings.values().removeIf(r -> r.until().plus(MAX_EXCLUSION).isBefore(now));
    }
}
