package org.baobabspindle.core.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.baobabspindle.core.time.Moment;

/**
 * Which targets to leave out for a while, judged by the outcomes of their requests. Answers a backend server that fails or
 * drops its requests while it says that it is well.
 */
public final class TargetHealth {
    /** Two failures in a row are rare for a sound target that loses three answers in a hundred. */
    private static final int FAILURES = 2;

    /** The first time out; a few requests' length. */
    private static final Duration SHORTEST = Duration.ofSeconds(1);

    /** The longest time out; a target that recovers is used again within this time. */
    private static final Duration LONGEST = Duration.ofSeconds(8);

    private final Map<String, Rating> ratings = new HashMap<>();

    /** Creates ratings in which every target is sound. */
    public TargetHealth() {}

    private record Rating(int failures, Duration timeOut, Moment until) {}

    /**
     * Notes a request that went well.
     *
     * @param target the key of the target
     */
    public void recordSuccess(String target) {
        ratings.remove(target);
    }

    /**
     * Notes a request that the target failed.
     *
     * @param target the key of the target
     * @param now the present time
     * @return whether the target is left out from now on
     */
    public boolean recordFailure(String target, Moment now) {
        Rating old = ratings.getOrDefault(target, new Rating(0, SHORTEST.dividedBy(2), now));
        int failures = old.failures() + 1;
        if (failures < FAILURES) {
            ratings.put(target, new Rating(failures, old.timeOut(), old.until()));
            return false;
        }
        Duration doubled = old.timeOut().multipliedBy(2);
        Duration timeOut = doubled.compareTo(LONGEST) > 0 ? LONGEST : doubled;
        ratings.put(target, new Rating(FAILURES - 1, timeOut, now.plus(timeOut)));
        return true;
    }

    /**
     * Leaves a target out for a stated time.
     *
     * @param target the key of the target
     * @param until the end of that time
     */
    public void excludeUntil(String target, Moment until) {
        ratings.put(target, new Rating(FAILURES - 1, SHORTEST, until));
    }

    /**
     * Tells whether a target may be used.
     *
     * @param target the key of the target
     * @param now the present time
     * @return whether it is not left out
     */
    public boolean isUsable(String target, Moment now) {
        Rating r = ratings.get(target);
        return r == null || !now.isBefore(r.until());
    }

    /**
     * Forgets targets that are gone.
     *
     * @param now the present time
     */
    public void expire(Moment now) {
        ratings.values().removeIf(r -> r.until().plus(LONGEST).isBefore(now));
    }
}
