package org.baobabspindle.node;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.baobabspindle.platform.LogFollower;
import org.baobabspindle.serving.LogReader;

/** Has the follower of the log read at once. */
final class FollowerLogReader implements LogReader {
    private static final long POLL_MILLIS = 5;

    private final LogFollower follower;

    FollowerLogReader(LogFollower follower) {
        this.follower = follower;
    }

    @Override
    public boolean readUntil(BooleanSupplier reached, Duration timeout) {
        long deadline = System.nanoTime() + timeout.toNanos();
        follower.requestImmediateRead();
        while (!reached.getAsBoolean()) {
            if (System.nanoTime() >= deadline) {
                return false;
            }
            try {
                TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
        return true;
    }
}
