package org.baobabspindle.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.baobabspindle.http.ResetAwareEndPoint;
import org.baobabspindle.port.MeteredConnection;
import org.eclipse.jetty.http.BadMessageException;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A connection to a backend server or the store that cannot occupy a thread. Jetty reads a connection for as long as it
 * has bytes that complete no part of a response, and carries out the cancellation of a call when the reading pauses; so
 * this connection pauses regularly, and fails when the overhead exceeds its limit.
 */
final class MeteredEndPoint extends ResetAwareEndPoint implements MeteredConnection {
    /**
     * The maximum number of bytes of a response that are not content, in addition to one for each byte of content; leaves
     * room for the headers and trailers, which have limits of their own.
     */
    private static final long MAX_OVERHEAD_BYTES = 64 * 1024;

    /** The number of bytes after which reading pauses, so that other connections get their turn. */
    private static final int MAX_BYTES_PER_TURN = 64 * 1024;

    private final AtomicLong overhead = new AtomicLong();
    private final AtomicInteger calls = new AtomicInteger();
    private volatile boolean closedAfterCall;
    private int readInTurn;

    MeteredEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
        super(channel, selector, key, scheduler);
    }

    @Override
    public void callBegan() {
        overhead.set(0);
        calls.incrementAndGet();
    }

    @Override
    public int calls() {
        return calls.get();
    }

    @Override
    public void closeAfterCall() {
        closedAfterCall = true;
    }

    @Override
    public boolean isReusable() {
        return !closedAfterCall;
    }

    /** Content makes up for as many bytes of its framing, but not for bytes that follow later. */
    @Override
    public void contentReceived(int count) {
        overhead.updateAndGet(o -> Math.max(0, o - 2L * count));
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        if (!isInputShutdown() && readInTurn >= MAX_BYTES_PER_TURN) {
            readInTurn = 0;
            return 0;
        }
        int filled = super.fill(buffer);
        if (filled <= 0) {
            readInTurn = 0;
            return filled;
        }
        readInTurn += filled;
        if (overhead.addAndGet(filled) > MAX_OVERHEAD_BYTES) {
            throw new BadMessageException("too many bytes that are not content");
        }
        return filled;
    }
}
