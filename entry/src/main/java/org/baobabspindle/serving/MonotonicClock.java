package org.baobabspindle.serving;

import java.time.Instant;
import java.time.InstantSource;

/** Tells the present time; steps of the machine's wall clock after the start do not show. */
public final class MonotonicClock implements InstantSource {
    private final Instant startedAt = Instant.now();
    private final long startedNanos = System.nanoTime();

    /** Starts the clock at the machine's wall clock. */
    public MonotonicClock() {}

    /** Returns the present time, never earlier than a time returned before. */
    @Override
    public Instant instant() {
        return startedAt.plusNanos(System.nanoTime() - startedNanos);
    }
}
