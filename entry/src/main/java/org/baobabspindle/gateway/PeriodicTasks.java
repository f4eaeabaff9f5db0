package org.baobabspindle.gateway;

import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Runs tasks at intervals or once. A task that fails is logged, and runs again at its next turn. */
final class PeriodicTasks {
    private static final System.Logger LOGGER = System.getLogger(PeriodicTasks.class.getName());

    private final ScheduledExecutorService timer;

    PeriodicTasks(ScheduledExecutorService timer) {
        this.timer = timer;
    }

    void runEvery(Duration interval, Runnable task) {
        timer.scheduleWithFixedDelay(
                () -> runAndLogFailure(task), interval.toMillis(), interval.toMillis(), TimeUnit.MILLISECONDS);
    }

    void runOnceAfter(Duration delay, Runnable task) {
        timer.schedule(() -> runAndLogFailure(task), delay.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Catches errors as well, since the timer would silently drop a task that throws one. */
    static void runAndLogFailure(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            logFailure(e);
        }
    }

    /** Logging needs memory too; a failure of it must not end the task either. */
    private static void logFailure(Throwable failure) {
        try {
            LOGGER.log(System.Logger.Level.ERROR, "a task failed", failure);
        } catch (OutOfMemoryError e) {
            // The next turn of the task is more useful than its log line.
        }
    }
}
