package org.baobabspindle.gateway;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the memory that the bodies of all requests and responses use together. */
final class BodyBudget {
    /** The part of the heap that bodies may use; the rest is left for everything else and for the garbage collector. */
    private static final double SHARE_OF_HEAP = 0.75;

    private final long maxBytes;
    private final AtomicLong reserved = new AtomicLong();

    /** What a body belongs to. Each use may fill the budget only so far that the uses after it find room. */
    enum Use {
        LARGE_REQUEST(0.84),
        SMALL_REQUEST(0.92),
        /** The last to fail, since its request has already run. */
        RESPONSE(1);

        /** The maximum length of the body of a small request, in bytes. */
        private static final int MAX_SMALL_BYTES = 64 * 1024;

        private final double share;

        Use(double share) {
            this.share = share;
        }

        static Use ofRequest(long bodyBytes) {
            return bodyBytes > MAX_SMALL_BYTES ? LARGE_REQUEST : SMALL_REQUEST;
        }

        private long limit(long maxBytes) {
            return (long) (share * maxBytes);
        }
    }

    /**
     * Creates a budget.
     *
     * @param maxBytes the maximum number of bytes in all bodies
     */
    BodyBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Returns a budget of the size that the heap of this process allows. */
    static BodyBudget ofHeap() {
        return new BodyBudget((long) (SHARE_OF_HEAP * Runtime.getRuntime().maxMemory()));
    }

    /** Reserves memory; returns false, and reserves nothing, if the budget does not allow it. */
    boolean tryReserve(long bytes, Use use) {
        if (reserved.addAndGet(bytes) <= use.limit(maxBytes)) {
            return true;
        }
        reserved.addAndGet(-bytes);
        return false;
    }

    void release(long bytes) {
        reserved.addAndGet(-bytes);
    }

    long reservedBytes() {
        return reserved.get();
    }
}
