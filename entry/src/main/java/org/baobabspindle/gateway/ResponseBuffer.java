package org.baobabspindle.gateway;

import java.nio.ByteBuffer;
import java.util.List;

/**
 * Buffers the body of a response that is forwarded once it is complete. Bounds memory if a server sends an endless
 * body.
 */
final class ResponseBuffer {
    /** The maximum length of one body, in bytes; the responses of all routes are far shorter. */
    static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

    private final BodyBudget budget;
    private final SegmentedBytes bytes = new SegmentedBytes();

    ResponseBuffer(BodyBudget budget) {
        this.budget = budget;
    }

    /** Appends bytes; returns false, and appends nothing, if that would exceed a limit. */
    boolean add(ByteBuffer part) {
        int count = part.remaining();
        if (bytes.size() + (long) count > MAX_BODY_BYTES || !budget.tryReserve(count, BodyBudget.Use.RESPONSE)) {
            return false;
        }
        bytes.append(part);
        return true;
    }

    /** Returns the bytes in buffers that share their memory. */
    List<ByteBuffer> buffers() {
        return bytes.buffers();
    }

    int size() {
        return bytes.size();
    }

    /** Discards the bytes and releases their memory to the budget. */
    void clear() {
        budget.release(bytes.size());
        bytes.clear();
    }
}
