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

/** A non-blocking connection between entries that carries frames. It occupies no thread while it waits. */
abstract class FrameConnection extends AbstractConnection {
    private static final Logger LOGGER = System.getLogger(FrameConnection.class.getName());
    private static final int READ_BUFFER_BYTES = 4 * 1024;

    private final Queue<ByteBuffer> outputQueue = new ArrayDeque<>();
    private byte[] received = new byte[READ_BUFFER_BYTES];
    private int receivedBytes;
    private boolean writing;

    FrameConnection(EndPoint endPoint, Executor executor) {
        super(endPoint, executor);
    }

    /** Called for each frame received; an exception closes the connection. */
    abstract void received(PeerFrame frame) throws IOException;

    /** Returns the maximum length of a frame body that is accepted at present, in bytes. */
    abstract int maxFrameBytes();

    @Override
    public void onOpen() {
        super.onOpen();
        fillInterested();
    }

    @Override
    public void onFillable() {
        try {
            ByteBuffer buffer = BufferUtil.allocate(READ_BUFFER_BYTES);
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
                dispatchFrames();
            }
        } catch (IOException e) {
            LOGGER.log(Level.DEBUG, "closing a peer connection: {0}", e.getMessage());
            close();
        } catch (RuntimeException | Error e) {
            // Nothing would read an open connection any more, while requests are still sent on it.
            close();
            LOGGER.log(Level.ERROR, "closed a peer connection whose input could not be processed", e);
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

    private void dispatchFrames() throws IOException {
        int from = 0;
        while (receivedBytes - from >= FrameCodec.HEADER_BYTES) {
            int length =
                    FrameCodec.readBodyLength(ByteBuffer.wrap(received, from, receivedBytes - from), maxFrameBytes());
            int end = from + FrameCodec.HEADER_BYTES + length;
            if (receivedBytes < end) {
                break;
            }
            received(FrameCodec.decodeBody(Arrays.copyOfRange(received, from + FrameCodec.HEADER_BYTES, end)));
            from = end;
        }
        System.arraycopy(received, from, received, 0, receivedBytes - from);
        receivedBytes -= from;
    }

    /** Queues a frame for sending and returns its size on the wire in bytes. */
    int send(PeerFrame frame) {
        ByteBuffer bytes = FrameCodec.encode(frame);
        int size = bytes.remaining();
        synchronized (outputQueue) {
            outputQueue.add(bytes);
        }
        flush();
        return size;
    }

    private void flush() {
        ByteBuffer next;
        synchronized (outputQueue) {
            if (writing || outputQueue.isEmpty()) {
                return;
            }
            writing = true;
            next = outputQueue.remove();
        }
        getEndPoint().write(Callback.from(this::writeCompleted, this::writeFailed), next);
    }

    private void writeCompleted() {
        synchronized (outputQueue) {
            writing = false;
        }
        flush();
    }

    private void writeFailed(Throwable failure) {
        LOGGER.log(Level.DEBUG, "write to a peer failed: {0}", failure.getMessage());
        close();
    }
}
