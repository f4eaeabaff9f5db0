package org.baobabspindle.peer;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Counts the bytes sent to other entries by message type. */
public final class PeerTraffic {
    private final Map<String, LongAdder> bytes = new ConcurrentHashMap<>();

    /** Creates counters at zero. */
    public PeerTraffic() {}

    /** Adds the size of a message that was sent, in bytes. */
    void recordSent(PeerMessage message, int size) {
        bytes.computeIfAbsent(message.getClass().getSimpleName(), k -> new LongAdder())
                .add(size);
    }

    /**
     * Returns the bytes sent so far.
     *
     * @return the bytes by the simple name of the message type
     */
    public Map<String, Long> bytesByMessageType() {
        Map<String, Long> result = new TreeMap<>();
        bytes.forEach((k, v) -> result.put(k, v.sum()));
        return result;
    }
}
