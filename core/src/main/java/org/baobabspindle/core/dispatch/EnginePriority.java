package org.baobabspindle.core.dispatch;

import org.baobabspindle.core.id.Checks;

/**
 * Computes the priority by which an engine admits a request, from 0 (first) to 9. Requests of the highest priority lead
 * while they can be on time. Of the others, only those lead that would be late without it: more urgent ones first, and
 * short prompts before long ones. All the rest, and whatever is late already, has the priority that engines assume if
 * none is stated. Nothing is put behind that: an engine never raises a priority, and at full groups a strict order by
 * kind let long prompts wait for seconds (docs/design/long-prompts.md).
 */
public final class EnginePriority {
    /** The priority that engines assume if none is stated. */
    private static final int COMMON_LEVEL = 5;

    /** The level of short prompts of priority 1 that would be late. */
    private static final int AT_RISK_LEVEL = 2;

    /** The part of the target time above which a request is about to be late. */
    private static final double AT_RISK_SHARE = 0.5;

    private EnginePriority() {}

    /**
     * Returns the priority for the engine.
     *
     * @param priority the priority of the request; 0 is the highest
     * @param isLong whether its prompt is not read in one step
     * @param firstEventMillis the predicted time from the request to its first event
     * @param targetMillis the time up to which it is on time
     * @return the priority, from 0 to 5
     */
    public static int of(int priority, boolean isLong, double firstEventMillis, double targetMillis) {
        Checks.require(targetMillis > 0, "target time must be positive but was " + targetMillis);
        if (firstEventMillis > targetMillis) {
            return COMMON_LEVEL;
        }
        if (priority <= 0) {
            return isLong ? 1 : 0;
        }
        if (firstEventMillis <= targetMillis * AT_RISK_SHARE) {
            return COMMON_LEVEL;
        }
        return Math.min(AT_RISK_LEVEL + priority - 1 + (isLong ? 1 : 0), COMMON_LEVEL - 1);
    }
}
