package org.baobabspindle.gateway;

import java.util.HashMap;
import java.util.Map;

/** The links of entries, in simulated time: each carries the messages of its entry one after the other, in both directions. */
final class SimulatedLinks {
    /** The time that a message takes at least. */
    static final int LATENCY_MILLIS = 5;

    private static final double BITS_PER_BYTE = 8;

    private final Map<Object, Double> megabits = new HashMap<>();
    private final Map<Object, Double> sendingUntil = new HashMap<>();
    private final Map<Object, Double> receivingUntil = new HashMap<>();
    private final double usualMegabits;
    private long bytes;

    /**
     * Creates links.
     *
     * @param usualMegabits the capacity of the link of an entry in each direction, in Mbit/s; may be infinite
     */
    SimulatedLinks(double usualMegabits) {
        this.usualMegabits = usualMegabits;
    }

    /** Sets the capacity of the link of an entry, in Mbit/s. */
    void setCapacity(Object entry, double capacity) {
        megabits.put(entry, capacity);
    }

    /** Sends a message between entries. */
    void send(StoreReplay.Time time, Object from, Object to, long size, Runnable arrived) {
        bytes += size;
        time.at(occupy(sendingUntil, from, size, time.millis()), () -> receive(time, to, size, arrived));
    }

    /** Receives a message that has reached the link of an entry; the one of the store is no limit. */
    void receive(StoreReplay.Time time, Object to, long size, Runnable arrived) {
        time.at(occupy(receivingUntil, to, size, time.millis()) + LATENCY_MILLIS, arrived);
    }

    /** Occupies a direction of a link and returns when the message has passed. */
    private long occupy(Map<Object, Double> until, Object entry, long size, long now) {
        double duration = size * BITS_PER_BYTE / megabits.getOrDefault(entry, usualMegabits) / 1_000;
        double end = Math.max((double) now, until.getOrDefault(entry, 0.0)) + duration;
        until.put(entry, end);
        return (long) Math.ceil(end);
    }

    /** Returns the bytes that entries have sent to each other. */
    long bytesBetweenEntries() {
        return bytes;
    }
}
