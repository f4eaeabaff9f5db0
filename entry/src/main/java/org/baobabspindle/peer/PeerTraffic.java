package org.baobabspindle.peer;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Counts the bytes sent to other entries by the kind of message. */
public final class PeerTraffic {
    private final Map<String, LongAdder> bytes = new ConcurrentHashMap<>();

    /** Creates counters at zero. */
    public PeerTraffic() {}

    void sent(PeerMessage message, int count) {
        bytes.computeIfAbsent(message.getClass().getSimpleName(), k -> new LongAdder())
                .add(count);
    }

    /**
     * Returns the bytes sent so far.
     *
     * @return the bytes by the name of the message
     */
    public Map<String, Long> bytesByMessageType() {
        Map<String, Long> result = new TreeMap<>();
        bytes.forEach((k, v) -> result.put(k, v.sum()));
        return result;
    }
}
