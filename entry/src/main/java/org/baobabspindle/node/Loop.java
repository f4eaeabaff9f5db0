package org.baobabspindle.node;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Runs a task repeatedly on the workers with a fixed delay between runs; a failure is logged and does not end the
 * loop.
 */
final class Loop {
    private static final Logger LOGGER = System.getLogger(Loop.class.getName());

    private Loop() {}

    static void scheduleWithDelay(ScheduledExecutorService timer, Executor workers, Duration delay, Runnable task) {
        try {
            timer.schedule(
                    () -> workers.execute(() -> {
                        runLogged(task);
                        scheduleWithDelay(timer, workers, delay, task);
                    }),
                    delay.toMillis(),
                    TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            LOGGER.log(Level.DEBUG, "the loop ends because the entry is stopping");
        }
    }

    private static void runLogged(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            LOGGER.log(Level.ERROR, "a run of a periodic task failed", e);
        }
    }
}
