package org.baobabspindle.gateway;

import java.util.random.RandomGenerator;

/** A thread-safe random number generator. */
final class SynchronizedRandom implements RandomGenerator {
    private final RandomGenerator source;

    SynchronizedRandom(RandomGenerator source) {
        this.source = source;
    }

    @Override
    public synchronized long nextLong() {
        return source.nextLong();
    }
}
