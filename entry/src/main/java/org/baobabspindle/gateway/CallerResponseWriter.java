package org.baobabspindle.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/**
 * Writes a response in parts of bounded size, since a write from the heap takes as much direct memory. Small parts that
 * arrive while a write is in progress are collected for the next write.
 */
final class CallerResponseWriter {
    private final Response response;
    private final Callback done;
    private final Runnable onDisconnect;
    private final Deque<ByteBuffer> pending = new ArrayDeque<>();
    private boolean writing;
    private boolean complete;
    private boolean closed;

    /**
     * Creates a writer.
     *
     * @param response the response; its status and headers are set
     * @param done the callback that completes the exchange with Jetty
     * @param onDisconnect runs if writing to the caller fails
     */
    CallerResponseWriter(Response response, Callback done, Runnable onDisconnect) {
        this.response = response;
        this.done = done;
        this.onDisconnect = onDisconnect;
    }

    /** Writes the remaining bytes of a buffer, which must not change until they are written. */
    void write(ByteBuffer bytes) {
        synchronized (this) {
            if (closed || !bytes.hasRemaining()) {
                return;
            }
            pending.add(bytes);
        }
        flush();
    }

    /** Completes the response. */
    void finish() {
        synchronized (this) {
            complete = true;
        }
        flush();
    }

    /** Returns whether the response is complete or aborted, so that only writing is left. */
    synchronized boolean isComplete() {
        return complete || closed;
    }

    /** Aborts the connection, so that the response cannot be taken for complete. */
    void abort(String reason) {
        synchronized (this) {
            if (closed) {
                return;
            }
            closed = true;
        }
        done.failed(new IOException(reason));
    }

    private void flush() {
        try {
            writeNext();
        } catch (RuntimeException | Error e) {
            failed(e);
        }
    }

    private void writeNext() {
        ByteBuffer part;
        boolean last;
        synchronized (this) {
            if (writing || closed || (pending.isEmpty() && !complete)) {
                return;
            }
            writing = true;
            part = nextPart();
            last = complete && pending.isEmpty();
        }
        response.write(last, part, Callback.from(() -> written(last), this::failed));
    }

    /** Removes the buffers of the next write. */
    private ByteBuffer nextPart() {
        if (pending.size() < 2) {
            return pending.isEmpty() ? BufferUtil.EMPTY_BUFFER : pending.remove();
        }
        int count = 0;
        int size = 0;
        for (ByteBuffer b : pending) {
            if (size + b.remaining() > SegmentedBytes.MAX_SEGMENT_BYTES) {
                break;
            }
            size += b.remaining();
            count++;
        }
        if (count < 2) {
            return pending.remove();
        }
        ByteBuffer part = ByteBuffer.allocate(size);
        for (int i = 0; i < count; i++) {
            part.put(pending.remove());
        }
        return part.flip();
    }

    private void written(boolean last) {
        synchronized (this) {
            writing = false;
            if (closed) {
                return;
            }
            closed = last;
        }
        if (last) {
            done.succeeded();
        } else {
            flush();
        }
    }

    private void failed(Throwable failure) {
        synchronized (this) {
            if (closed) {
                return;
            }
            closed = true;
        }
        done.failed(failure);
        onDisconnect.run();
    }
}
