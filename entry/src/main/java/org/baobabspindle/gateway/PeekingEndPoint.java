package org.baobabspindle.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Executor;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A connection of a caller that detects while a request is served that the caller has closed it. Jetty reads a
 * connection only between requests and would not detect it. Bytes read by the check are buffered for the next fill.
 */
final class PeekingEndPoint extends SocketChannelEndPoint {
    /** Enough for the head of a pipelined request. */
    private static final int PEEK_BYTES = 256;

    private final SocketChannel channel;
    private final Executor executor;
    private ByteBuffer buffered = ByteBuffer.allocate(0);
    private boolean closed;

    PeekingEndPoint(
            SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler, Executor executor) {
        super(channel, selector, key, scheduler);
        this.channel = channel;
        this.executor = executor;
    }

    /**
     * Returns whether the caller has closed its side of the connection; never blocks. Reads nothing while Jetty waits
     * for input, since Jetty would not be told of bytes that are no longer in the channel.
     */
    synchronized boolean closedByCaller() {
        if (closed || buffered.hasRemaining() || isFillInterested()) {
            return closed;
        }
        try {
            ByteBuffer read = ByteBuffer.allocate(PEEK_BYTES);
            closed = channel.read(read) < 0;
            buffered = read.flip();
        } catch (IOException e) {
            closed = true;
        }
        return closed;
    }

    @Override
    public synchronized int fill(ByteBuffer buffer) throws IOException {
        if (!buffered.hasRemaining()) {
            return super.fill(buffer);
        }
        return BufferUtil.append(buffer, buffered);
    }

    /** Interest is registered before this is called, so that no check reads from the channel in between. */
    @Override
    protected void needsFillInterest() {
        if (hasBuffered()) {
            executor.execute(() -> getFillInterest().fillable());
        } else {
            super.needsFillInterest();
        }
    }

    private synchronized boolean hasBuffered() {
        return buffered.hasRemaining();
    }
}
