package org.baobabspindle.gateway;

import java.time.Duration;
import java.util.Optional;
import org.baobabspindle.core.fleet.EntryCapacity;
import org.baobabspindle.core.time.Moment;

/**
 * The part of its capacity that this entry does not use: the smaller of the free parts of its cores and descriptors, as a
 * moving average. Memory is left out, since the heap is filled before each garbage collection.
 */
final class OwnHeadroom {
    /**
     * The time constant of the average, a few times that for which callers keep addresses, so that callers who follow a
     * change have been measured before the next one.
     */
    private static final Duration TIME_CONSTANT = Duration.ofSeconds(6);

    private final Optional<EntryCapacity> capacity;
    private final Usage usage;
    private Optional<Moment> sampledAt = Optional.empty();
    private double cpuSeconds;
    private double used;

    /** What the process uses. */
    interface Usage {
        /** Returns the processor time that the process has used so far, in seconds. */
        double cpuSeconds();

        /** Returns the number of open file descriptors. */
        double descriptors();
    }

    /** Creates the headroom of an entry; an entry without a known capacity has none. */
    OwnHeadroom(Optional<EntryCapacity> capacity, Usage usage) {
        this.capacity = capacity;
        this.usage = usage;
    }

    /** Measures what is in use. */
    synchronized void sample(Moment now) {
        if (capacity.isEmpty()) {
            return;
        }
        double total = usage.cpuSeconds();
        if (sampledAt.isPresent() && sampledAt.get().isBefore(now)) {
            double elapsed = now.since(sampledAt.get()).toNanos() / 1e9;
            double cores = (total - cpuSeconds) / elapsed / capacity.get().cores();
            double current =
                    Math.max(cores, usage.descriptors() / capacity.get().descriptors());
            used += (current - used) * (1 - Math.exp(-elapsed * 1_000 / TIME_CONSTANT.toMillis()));
        }
        cpuSeconds = total;
        sampledAt = Optional.of(now);
    }

    /** Returns the free part, from 0 to 1; empty without a known capacity. */
    synchronized Optional<Double> value() {
        return capacity.map(c -> Math.max(0, Math.min(1, 1 - used)));
    }
}
