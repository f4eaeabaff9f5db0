package org.baobabspindle.gateway;

import java.util.random.RandomGenerator;

/** A source of random numbers that several threads may use. */
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
