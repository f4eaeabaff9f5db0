package org.baobabspindle.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Buffers the body of a response that is forwarded once it is complete. Bounds memory if a server sends an endless
 * body.
 */
final class ResponseBuffer {
    /** The maximum length of one body, in bytes; the responses of all routes are far shorter. */
    static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

    private final ByteBudget budget;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    /** Limits the memory that the buffers of all requests use together. */
    static final class ByteBudget {
        private final long maxBytes;
        private final AtomicLong reserved = new AtomicLong();

        /**
         * Creates a budget.
         *
         * @param maxBytes the maximum number of bytes in all buffers
         */
        ByteBudget(long maxBytes) {
            this.maxBytes = maxBytes;
        }

        private boolean tryReserve(int count) {
            if (reserved.addAndGet(count) <= maxBytes) {
                return true;
            }
            reserved.addAndGet(-count);
            return false;
        }

        private void release(int count) {
            reserved.addAndGet(-count);
        }
    }

    ResponseBuffer(ByteBudget budget) {
        this.budget = budget;
    }

    /** Appends bytes; returns false, and appends nothing, if that would exceed a limit. */
    boolean add(ByteBuffer part) {
        int count = part.remaining();
        if (bytes.size() + (long) count > MAX_BODY_BYTES || !budget.tryReserve(count)) {
            return false;
        }
        byte[] copy = new byte[count];
        part.get(copy);
        bytes.writeBytes(copy);
        return true;
    }

    byte[] bytes() {
        return bytes.toByteArray();
    }

    /** Discards the bytes and releases their memory to the budget. */
    void clear() {
        budget.release(bytes.size());
        bytes.reset();
    }
}
