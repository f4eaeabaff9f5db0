package org.baobabspindle.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicLong;

/** The body of an answer that is passed on once it is whole. Answers bodies without end: it takes bounded memory. */
final class ResponseBuffer {
    /** The longest body of one answer, in bytes; answers of all routes are far shorter. */
    static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

    private final ByteBudget room;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    /** The memory that the buffers of all requests take together. */
    static final class ByteBudget {
        private final long most;
        private final AtomicLong taken = new AtomicLong();

        /**
         * Creates room.
         *
         * @param most the most bytes
         */
        ByteBudget(long most) {
            this.most = most;
        }

        private boolean take(int count) {
            if (taken.addAndGet(count) <= most) {
                return true;
            }
            taken.addAndGet(-count);
            return false;
        }

        private void giveBack(int count) {
            taken.addAndGet(-count);
        }
    }

    ResponseBuffer(ByteBudget room) {
        this.room = room;
    }

    /** Adds bytes; returns false if there is no room for them. */
    boolean add(ByteBuffer piece) {
        int count = piece.remaining();
        if (bytes.size() + (long) count > MAX_BODY_BYTES || !room.take(count)) {
            return false;
        }
        byte[] copy = new byte[count];
        piece.get(copy);
        bytes.writeBytes(copy);
        return true;
    }

    byte[] bytes() {
        return bytes.toByteArray();
    }

    /** Drops the bytes. */
    void clear() {
        room.giveBack(bytes.size());
        bytes.reset();
    }
}
