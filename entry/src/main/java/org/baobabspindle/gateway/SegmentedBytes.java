package org.baobabspindle.gateway;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * A sequence of bytes in segments of bounded size: it grows without copying, and a segment is small enough to be written
 * at once, since a write from the heap takes as much direct memory.
 */
final class SegmentedBytes {
    static final int MAX_SEGMENT_BYTES = 32 * 1024;

    /** An empty sequence, to which nothing is appended. */
    static final SegmentedBytes EMPTY = new SegmentedBytes();

    /** All segments but the last are full. */
    private final List<ByteBuffer> segments = new ArrayList<>();

    private int size;

    /** Appends the remaining bytes of a buffer. */
    void append(ByteBuffer bytes) {
        while (bytes.hasRemaining()) {
            ByteBuffer last = segments.isEmpty() ? null : segments.get(segments.size() - 1);
            if (last == null || !last.hasRemaining()) {
                last = ByteBuffer.allocate(Math.min(MAX_SEGMENT_BYTES, Math.max(size, bytes.remaining())));
                segments.add(last);
            }
            int count = Math.min(last.remaining(), bytes.remaining());
            last.put(bytes.slice().limit(count));
            bytes.position(bytes.position() + count);
            size += count;
        }
    }

    int size() {
        return size;
    }

    /** Returns the bytes in buffers that share their memory. */
    List<ByteBuffer> buffers() {
        List<ByteBuffer> result = new ArrayList<>(segments.size());
        segments.forEach(s -> result.add(s.duplicate().flip()));
        return Collections.unmodifiableList(result);
    }

    void clear() {
        segments.clear();
        size = 0;
    }
}
