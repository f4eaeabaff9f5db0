package org.baobabspindle.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import org.baobabspindle.core.fleet.BackendServer;

/**
 * Limits the requests to targets in availability zones that may get only a share of their usual requests. Such a target
 * may be chosen for this share of the requests, and uses this share of its slots.
 */
public final class ZoneRamp {
    /** The step of an additive recurrence, whose values are spread evenly over 0 to 1 from the first ones on. */
    private static final double STEP = (Math.sqrt(5) - 1) / 2;

    private double position;

    /** Creates a limit at the start of its sequence. */
    public ZoneRamp() {}

    /**
     * Returns the targets that may be chosen for the next request.
     *
     * @param targets the targets
     * @param load returns the outstanding requests for the key of a target
     * @param share returns the share of the requests that a server may get, by its zone
     * @return the targets in zones with a full share, and those of other zones where this request is in their share
     */
    public List<Target> next(
            List<Target> targets, Function<String, Integer> load, ToDoubleFunction<BackendServer> share) {
        position = (position + STEP) % 1;
        List<Target> result = new ArrayList<>();
        for (Target t : targets) {
            double s = share.applyAsDouble(t.server());
            if (s >= 1 || (position < s && load.apply(t.key()) < slots(t, s))) {
                result.add(t);
            }
        }
        return result;
    }

    /**
     * Returns the targets with the slots that may be used.
     *
     * @param targets the targets
     * @param share returns the share of the requests that a server may get, by its zone
     * @return the targets in zones that may get requests, with their share of the slots
     */
    public static List<Target> usable(List<Target> targets, ToDoubleFunction<BackendServer> share) {
        List<Target> result = new ArrayList<>();
        for (Target t : targets) {
            double s = share.applyAsDouble(t.server());
            if (s >= 1) {
                result.add(t);
            } else if (s > 0) {
                result.add(new Target(t.key(), t.server(), t.group(), slots(t, s), t.pace()));
            }
        }
        return result;
    }

    private static int slots(Target t, double share) {
        return (int) Math.ceil(t.slots() * share);
    }
}
