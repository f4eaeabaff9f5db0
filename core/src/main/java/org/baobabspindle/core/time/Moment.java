package org.baobabspindle.core.time;

import java.time.Duration;

/**
 * A point in time as two clocks of one instance show it. The steady clock stands still while the instance is suspended;
 * the wall clock may jump. An age that must not be underestimated takes the larger of both differences.
 *
 * @param monotonicNanos the steady clock, in nanoseconds
 * @param wallMillis the wall clock, in Unix milliseconds
 */
public record Moment(long monotonicNanos, long wallMillis) {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /**
     * Returns the age of an earlier moment, which is never underestimated.
     *
     * @param earlier the earlier moment
     * @return the larger of the differences of both clocks, at least zero
     */
    public Duration since(Moment earlier) {
        long steady = monotonicNanos - earlier.monotonicNanos;
        long wall = (wallMillis - earlier.wallMillis) * NANOS_PER_MILLI;
        return Duration.ofNanos(Math.max(0, Math.max(steady, wall)));
    }

    /**
     * Returns the milliseconds since an earlier moment by the steady clock.
     *
     * @param earlier the earlier moment
     * @return the milliseconds
     */
    public long monotonicMillisSince(Moment earlier) {
        return (monotonicNanos - earlier.monotonicNanos) / NANOS_PER_MILLI;
    }

    /**
     * Returns the moment some time later.
     *
     * @param duration the time
     * @return the later moment
     */
    public Moment plus(Duration duration) {
        return new Moment(monotonicNanos + duration.toNanos(), wallMillis + duration.toMillis());
    }

    /**
     * Returns the moment some time earlier.
     *
     * @param duration the time
     * @return the earlier moment
     */
    public Moment minus(Duration duration) {
        return plus(duration.negated());
    }

    /**
     * Tells by the steady clock whether this moment is before another one.
     *
     * @param other the other moment
     * @return whether it is earlier
     */
    public boolean isBefore(Moment other) {
        return monotonicNanos - other.monotonicNanos < 0;
    }
}
