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

    /** Sends a message between entries and returns when it arrives, in milliseconds. */
    long arrival(Object from, Object to, long size, long millis) {
        double now = (double) millis;
        bytes += size;
        double sent = occupy(sendingUntil, from, size, now);
        return (long) Math.ceil(occupy(receivingUntil, to, size, Math.max(now, sent - duration(to, size))))
                + LATENCY_MILLIS;
    }

    /** Receives a message of the store, whose own link is no limit, and returns when it has arrived, in milliseconds. */
    long arrivalFromStore(Object to, long size, long millis) {
        return (long) Math.ceil(occupy(receivingUntil, to, size, (double) millis)) + LATENCY_MILLIS;
    }

    private double occupy(Map<Object, Double> until, Object entry, long size, double now) {
        double end = Math.max(now, until.getOrDefault(entry, 0.0)) + duration(entry, size);
        until.put(entry, end);
        return end;
    }

    private double duration(Object entry, long size) {
        return size * BITS_PER_BYTE / megabits.getOrDefault(entry, usualMegabits) / 1_000;
    }

    /** Returns the bytes that entries have sent to each other. */
    long bytesBetweenEntries() {
        return bytes;
    }
}
