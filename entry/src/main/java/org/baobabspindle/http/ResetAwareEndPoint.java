package org.baobabspindle.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A connection of a client that distinguishes a reset from an orderly close. Jetty's default treats both as the end of the
 * input, so that a reset would complete a response without a declared length.
 */
public class ResetAwareEndPoint extends SocketChannelEndPoint {
    private final SocketChannel channel;

    /**
     * Creates a connection.
     *
     * @param channel its channel
     * @param selector the selector of the channel
     * @param key the key of the channel at the selector
     * @param scheduler the scheduler of timeouts
     */
    public ResetAwareEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
        super(channel, selector, key, scheduler);
        this.channel = channel;
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        if (isInputShutdown()) {
            return -1;
        }
        int position = BufferUtil.flipToFill(buffer);
        try {
            int filled = channel.read(buffer);
            if (filled > 0) {
                notIdle();
            } else if (filled < 0) {
                shutdownInput();
            }
            return filled;
        } finally {
            BufferUtil.flipToFlush(buffer, position);
        }
    }
}
