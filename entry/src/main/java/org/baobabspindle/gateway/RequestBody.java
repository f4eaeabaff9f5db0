package org.baobabspindle.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Invocable;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Reads the body of a request into memory, as far as the budget of all bodies allows. What arrives after the request was
 * refused is discarded: a connection that is closed with unread bytes is reset, and its caller may lose the response.
 */
final class RequestBody {
    /** The maximum length of a body, in bytes; for a whole body, the limit of the configuration applies as well. */
    private static final int MAX_BYTES = 8 * 1024 * 1024;

    /** How long a connection stays open for the rest of a body after the response. */
    private static final Duration MAX_LINGER = Duration.ofSeconds(5);

    private final Request request;
    private final BodyBudget budget;
    private final Listener listener;
    private final SegmentedBytes bytes = new SegmentedBytes();

    /** Guarded by this, like all fields below. */
    private long reserved;

    private boolean discarding;

    /** Whether nothing more will be read. */
    private boolean ended;

    /** Completes the request; present from the end of the response to the end of the body. */
    private Optional<Callback> completion = Optional.empty();

    private Optional<Scheduler.Task> lingerTimeout = Optional.empty();

    /** Receives the body, or the reason for which there is none. A failure of a method ends in {@link #bodyFailed}. */
    interface Listener {
        /** The whole body was read. */
        void bodyRead(SegmentedBytes body);

        /** The body is not kept. */
        void bodyRefused(Refusal cause);

        /** The connection ended before the whole body had arrived. */
        void bodyCutOff(String reason);

        /** Reading the body failed in this process. */
        void bodyFailed(Throwable failure);
    }

    RequestBody(Request request, BodyBudget budget, Listener listener) {
        this.request = request;
        this.budget = budget;
        this.listener = listener;
    }

    /** Begins to read. A body of a declared length that does not fit into memory is refused before it is read. */
    void read() {
        long declared = request.getLength();
        boolean chunked = request.getHeaders().contains(HttpHeader.TRANSFER_ENCODING);
        if (declared <= 0 && !chunked) {
            end();
            listener.bodyRead(SegmentedBytes.EMPTY);
            return;
        }
        Optional<Refusal> refusal = declared > 0 ? reserve(declared) : Optional.empty();
        refusal.ifPresent(this::refuse);
        if (refusal.isPresent() && request.getHeaders().contains(HttpHeader.EXPECT)) {
            // The caller sends no body, as it waits for the response first.
            end();
            return;
        }
        readAvailable();
    }

    private void refuse(Refusal cause) {
        discard();
        listener.bodyRefused(cause);
    }

    private void readAvailable() {
        try {
            boolean more = true;
            while (more) {
                more = readChunk();
            }
        } catch (RuntimeException | Error e) {
            end();
            listener.bodyFailed(e);
        }
    }

    /** Reads what has arrived; returns false if nothing has, or nothing more will. */
    private boolean readChunk() {
        Content.Chunk chunk = request.read();
        if (chunk == null) {
            request.demand(Invocable.from(Invocable.InvocationType.NON_BLOCKING, this::readAvailable));
            return false;
        }
        if (Content.Chunk.isFailure(chunk)) {
            readFailed(chunk.getFailure());
            return false;
        }
        Optional<Refusal> refusal;
        try {
            refusal = append(chunk.getByteBuffer());
        } finally {
            chunk.release();
        }
        refusal.ifPresent(this::refuse);
        if (!chunk.isLast()) {
            return true;
        }
        boolean whole = end();
        if (whole) {
            listener.bodyRead(bytes);
        }
        return false;
    }

    private synchronized Optional<Refusal> append(ByteBuffer part) {
        if (discarding) {
            return Optional.empty();
        }
        Optional<Refusal> refusal = reserve(bytes.size() + (long) part.remaining());
        if (refusal.isEmpty()) {
            bytes.append(part);
        }
        return refusal;
    }

    /** Reserves memory for a body of a length so far. */
    private synchronized Optional<Refusal> reserve(long length) {
        if (length > MAX_BYTES) {
            return Optional.of(Refusal.TOO_LARGE);
        }
        long missing = length - reserved;
        if (missing > 0 && !budget.tryReserve(missing, BodyBudget.Use.ofRequest(length))) {
            return Optional.of(Refusal.OVERLOADED);
        }
        reserved += Math.max(0, missing);
        return Optional.empty();
    }

    private void readFailed(Throwable failure) {
        boolean wanted = end();
        if (!wanted) {
            return;
        }
        if (failure instanceof HttpException && !endPoint().isInputShutdown()) {
            // Jetty reports the same exception for invalid framing as for the end of the connection.
            listener.bodyRefused(Refusal.MALFORMED_BODY);
        } else if (failure instanceof IOException) {
            listener.bodyCutOff(failure.toString());
        } else {
            listener.bodyFailed(failure);
        }
    }

    /** Ends reading; returns whether the body was still wanted. */
    private boolean end() {
        Optional<Callback> completed;
        boolean wanted;
        synchronized (this) {
            wanted = !ended && !discarding;
            ended = true;
            completed = completion;
            completion = Optional.empty();
            lingerTimeout.ifPresent(Scheduler.Task::cancel);
        }
        completed.ifPresent(Callback::succeeded);
        return wanted;
    }

    /** Returns whether nothing more will be read. */
    synchronized boolean isEnded() {
        return ended;
    }

    /** Returns whether the caller has closed the connection; while the body is read, its end tells so. */
    boolean closedByCaller() {
        return isEnded() && endPoint() instanceof PeekingEndPoint p && p.closedByCaller();
    }

    private EndPoint endPoint() {
        return request.getConnectionMetaData().getConnection().getEndPoint();
    }

    /** Discards the body unless it was read completely. */
    synchronized void stopReading() {
        if (!ended) {
            discard();
        }
    }

    /** Returns the memory of the body to the budget; what still arrives is discarded. */
    synchronized void discard() {
        discarding = true;
        if (!ended) {
            bytes.clear();
        }
        budget.release(reserved);
        reserved = 0;
    }

    /** Returns a callback for the end of the response, which completes the request once the body has ended as well. */
    Callback completeAfter(Callback callback) {
        return Callback.from(() -> responseWritten(callback), callback::failed);
    }

    private void responseWritten(Callback callback) {
        synchronized (this) {
            if (!ended) {
                completion = Optional.of(callback);
                lingerTimeout = Optional.of(request.getComponents()
                        .getScheduler()
                        .schedule(this::abortLinger, MAX_LINGER.toMillis(), TimeUnit.MILLISECONDS));
                return;
            }
        }
        callback.succeeded();
    }

    private void abortLinger() {
        Optional<Callback> aborted;
        synchronized (this) {
            aborted = completion;
            completion = Optional.empty();
        }
        aborted.ifPresent(c -> c.failed(new IOException("the rest of the body has not arrived")));
    }
}
