package org.baobabspindle.core.time;

import java.time.Duration;

/**
 * A point in time, read from the monotonic clock and the wall clock of one instance. The monotonic clock stops while
 * the instance is suspended, and the wall clock may jump. An elapsed time that must not be underestimated is therefore
 * the larger of the differences of both clocks.
 *
 * @param monotonicNanos the reading of the monotonic clock, in nanoseconds
 * @param wallMillis the reading of the wall clock, in Unix milliseconds
 */
public record Moment(long monotonicNanos, long wallMillis) {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /**
     * Returns the time elapsed since an earlier moment, which is never underestimated.
     *
     * @param earlier the earlier moment
     * @return the larger of the differences of both clocks; not negative
     */
    public Duration since(Moment earlier) {
        long monotonic = monotonicNanos - earlier.monotonicNanos;
        long wall = (wallMillis - earlier.wallMillis) * NANOS_PER_MILLI;
        return Duration.ofNanos(Math.max(0, Math.max(monotonic, wall)));
    }

    /**
     * Returns the time elapsed since an earlier moment by the monotonic clock.
     *
     * @param earlier the earlier moment
     * @return the elapsed milliseconds; negative if the other moment is later
     */
    public long monotonicMillisSince(Moment earlier) {
        return (monotonicNanos - earlier.monotonicNanos) / NANOS_PER_MILLI;
    }

    /**
     * Returns the moment that is a duration after this one.
     *
     * @param duration the duration
     * @return the later moment
     */
    public Moment plus(Duration duration) {
        return new Moment(monotonicNanos + duration.toNanos(), wallMillis + duration.toMillis());
    }

    /**
     * Returns the moment that is a duration before this one.
     *
     * @param duration the duration
     * @return the earlier moment
     */
    public Moment minus(Duration duration) {
        return plus(duration.negated());
    }

    /**
     * Returns whether this moment is before another one by the monotonic clock.
     *
     * @param other the other moment
     * @return whether this moment is earlier
     */
    public boolean isBefore(Moment other) {
        return monotonicNanos - other.monotonicNanos < 0;
    }
}
