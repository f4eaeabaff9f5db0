package org.baobabspindle.serving;

import java.time.Instant;
import java.time.InstantSource;

/** A clock that never goes backwards: it starts at the wall clock and ignores later steps of the wall clock. */
public final class MonotonicClock implements InstantSource {
    private final Instant startedAt = Instant.now();
    private final long startedNanos = System.nanoTime();

    /** Creates a clock that starts at the present time of the wall clock. */
    public MonotonicClock() {}

    /** Returns the present time, which is never earlier than a time returned before. */
    @Override
    public Instant instant() {
        return startedAt.plusNanos(System.nanoTime() - startedNanos);
    }
}
