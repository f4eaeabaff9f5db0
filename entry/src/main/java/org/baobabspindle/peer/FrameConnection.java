package org.baobabspindle.peer;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Queue;
import java.util.concurrent.Executor;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/** A connection between entries that carries frames. It holds no thread while it waits. */
abstract class FrameConnection extends AbstractConnection {
    private static final Logger LOGGER = System.getLogger(FrameConnection.class.getName());
    private static final int FILL_BYTES = 4 * 1024;

    private final Queue<ByteBuffer> outgoing = new ArrayDeque<>();
    private byte[] received = new byte[FILL_BYTES];
    private int receivedBytes;
    private boolean writing;

    FrameConnection(EndPoint endPoint, Executor executor) {
        super(endPoint, executor);
    }

    /** Takes a frame; an exception ends the connection. */
    abstract void received(PeerFrame frame) throws IOException;

    /** Returns the longest frame that is accepted now, in bytes. */
    abstract int maxFrameBytes();

    @Override
    public void onOpen() {
        super.onOpen();
        fillInterested();
    }

    @Override
    public void onFillable() {
        try {
            ByteBuffer buffer = BufferUtil.allocate(FILL_BYTES);
            while (true) {
                int filled = getEndPoint().fill(buffer);
                if (filled < 0) {
                    close();
                    return;
                }
                if (filled == 0) {
                    fillInterested();
                    return;
                }
                append(buffer);
                takeFrames();
            }
        } catch (IOException e) {
            LOGGER.log(Level.DEBUG, "a peer connection ends: {0}", e.getMessage());
            close();
        }
    }

    private void append(ByteBuffer buffer) {
        int count = buffer.remaining();
        if (receivedBytes + count > received.length) {
            received = Arrays.copyOf(received, Math.max(received.length * 2, receivedBytes + count));
        }
        buffer.get(received, receivedBytes, count);
        receivedBytes += count;
        BufferUtil.clear(buffer);
    }

    private void takeFrames() throws IOException {
        int from = 0;
        while (receivedBytes - from >= FrameCodec.HEADER_BYTES) {
            int length = FrameCodec.bodyLength(ByteBuffer.wrap(received, from, receivedBytes - from), maxFrameBytes());
            int end = from + FrameCodec.HEADER_BYTES + length;
            if (receivedBytes < end) {
                break;
            }
            received(FrameCodec.decode(Arrays.copyOfRange(received, from + FrameCodec.HEADER_BYTES, end)));
            from = end;
        }
        System.arraycopy(received, from, received, 0, receivedBytes - from);
        receivedBytes -= from;
    }

    /** Sends a frame and returns its bytes on the wire. */
    int send(PeerFrame frame) {
        ByteBuffer bytes = FrameCodec.frame(frame);
        int size = bytes.remaining();
        synchronized (outgoing) {
            outgoing.add(bytes);
        }
        flush();
        return size;
    }

    private void flush() {
        ByteBuffer next;
        synchronized (outgoing) {
            if (writing || outgoing.isEmpty()) {
                return;
            }
            writing = true;
            next = outgoing.remove();
        }
        getEndPoint().write(Callback.from(this::written, this::failed), next);
    }

    private void written() {
        synchronized (outgoing) {
            writing = false;
        }
        flush();
    }

    private void failed(Throwable failure) {
        LOGGER.log(Level.DEBUG, "writing to a peer failed: {0}", failure.getMessage());
        close();
    }
}
