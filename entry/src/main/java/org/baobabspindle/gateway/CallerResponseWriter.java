package org.baobabspindle.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Writes an answer piece by piece; pieces that come while one is being written are gathered. */
final class CallerResponseWriter {
    private final Response response;
    private final Callback done;
    private final Runnable gone;
    private final ByteArrayOutputStream gathered = new ByteArrayOutputStream();
    private boolean writing;
    private boolean last;
    private boolean over;

    /**
     * Creates a stream.
     *
     * @param response the response; its status and headers are set
     * @param done completes the exchange with the server
     * @param gone hears that the caller takes no more
     */
    CallerResponseWriter(Response response, Callback done, Runnable gone) {
        this.response = response;
        this.done = done;
        this.gone = gone;
    }

    /** Writes the bytes between the position and the limit. */
    void write(ByteBuffer bytes) {
        synchronized (this) {
            if (over) {
                return;
            }
            gathered.write(bytes.array(), bytes.arrayOffset() + bytes.position(), bytes.remaining());
        }
        flush();
    }

    /** Ends the answer as complete. */
    void finish() {
        synchronized (this) {
            last = true;
        }
        flush();
    }

    /** Ends the connection, so that the answer cannot be taken for complete. */
    void abort(String reason) {
        synchronized (this) {
            if (over) {
                return;
            }
            over = true;
        }
        done.failed(new IOException(reason));
    }

    private void flush() {
        byte[] piece;
        boolean end;
        synchronized (this) {
            if (writing || over || (gathered.size() == 0 && !last)) {
                return;
            }
            writing = true;
            piece = gathered.toByteArray();
            gathered.reset();
            end = last;
        }
        response.write(end, ByteBuffer.wrap(piece), Callback.from(() -> written(end), this::failed));
    }

    private void written(boolean end) {
        synchronized (this) {
            writing = false;
            if (over) {
                return;
            }
            over = end;
        }
        if (end) {
            done.succeeded();
        } else {
            flush();
        }
    }

    private void failed(Throwable failure) {
        synchronized (this) {
            if (over) {
                return;
            }
            over = true;
        }
        done.failed(failure);
        gone.run();
    }
}
