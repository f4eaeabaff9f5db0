package org.baobabspindle.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A connection of a caller that can be asked, while a request is served, whether the caller has closed it. Jetty reads a
 * connection only between requests, so it would not notice. Bytes that are read on the way are kept for the next fill.
 */
final class PeekingEndPoint extends SocketChannelEndPoint {
    /** Enough for the head of a request that a caller sends ahead of the answer. */
    private static final int PEEK_BYTES = 256;

    private final SocketChannel channel;
    private ByteBuffer kept = ByteBuffer.allocate(0);
    private boolean closed;

    PeekingEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
        super(channel, selector, key, scheduler);
        this.channel = channel;
    }

    /** Returns whether the caller has closed its side; never waits. */
    synchronized boolean closedByCaller() {
        if (closed || kept.hasRemaining()) {
            return closed;
        }
        try {
            ByteBuffer read = ByteBuffer.allocate(PEEK_BYTES);
            closed = channel.read(read) < 0;
            kept = read.flip();
        } catch (IOException e) {
            closed = true;
        }
        return closed;
    }

    @Override
    public synchronized int fill(ByteBuffer buffer) throws IOException {
        if (!kept.hasRemaining()) {
            return super.fill(buffer);
        }
        return BufferUtil.append(buffer, kept);
    }

    @Override
    protected synchronized void needsFillInterest() {
        if (kept.hasRemaining()) {
            getFillInterest().fillable();
        } else {
            super.needsFillInterest();
        }
    }
}
