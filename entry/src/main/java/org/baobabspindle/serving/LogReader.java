package org.baobabspindle.serving;

import java.time.Duration;
import java.util.function.BooleanSupplier;

/** Reads the log without the delay in which an entry batches its records. */
@FunctionalInterface
public interface LogReader {
    /**
     * Reads the log at once and waits until this entry has replayed enough of it.
     *
     * @param reached whether enough has been replayed; called without a lock
     * @param timeout the maximum time to wait
     * @return whether enough has been replayed; false on timeout or interruption
     */
    boolean readUntil(BooleanSupplier reached, Duration timeout);
}
