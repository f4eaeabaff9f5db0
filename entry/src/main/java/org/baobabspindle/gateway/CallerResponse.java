package org.baobabspindle.gateway;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Response;

/**
 * What the caller of one request gets: the status and headers of the first call whose answer is passed on, then each event
 * of a stream once and in order, whichever call brings it. Guarded by the lock of its exchange.
 */
final class CallerResponse {
    private final GatewayContext context;
    private final Response response;
    private final CallerResponseWriter out;
    private int status;
    private HttpFields headers = HttpFields.EMPTY;
    private boolean committed;
    private long lastEventId = -1;

    CallerResponse(GatewayContext context, Response response, CallerResponseWriter out) {
        this.context = context;
        this.response = response;
        this.out = out;
    }

    /** Takes the status and headers of a call, unless those of an earlier one are on their way. */
    void head(int callStatus, HttpFields callHeaders) {
        if (!committed) {
            status = callStatus;
            headers = callHeaders;
        }
    }

    /** Returns the status that the caller gets or would get. */
    int status() {
        return status;
    }

    /** Returns whether the caller may have seen the status. */
    boolean committed() {
        return committed;
    }

    /** Returns the number of the last event that the caller gets; -1 before the first. */
    long lastEventId() {
        return lastEventId;
    }

    /** Writes an event unless the caller has it; returns false if events before it are missing. */
    boolean event(EventSplitter.Event e) {
        if (e.id().isPresent()) {
            long id = e.id().getAsLong();
            if (committed && id <= lastEventId) {
                return true;
            }
            if (committed && lastEventId >= 0 && id > lastEventId + 1) {
                return false;
            }
            lastEventId = id;
        }
        if (!committed) {
            commit();
        }
        out.write(e.bytes());
        return true;
    }

    /** Ends the answer; a body that was not streamed goes out whole. */
    void finish(Optional<byte[]> body) {
        if (!committed) {
            commit();
            body.ifPresent(b -> {
                response.getHeaders().put("Content-Length", b.length);
                out.write(ByteBuffer.wrap(b));
            });
        }
        out.finish();
    }

    private void commit() {
        committed = true;
        response.setStatus(status);
        ResponseHeaders.copy(headers, response.getHeaders());
        closeIfStopping();
    }

    private void closeIfStopping() {
        if (context.stopping().inProgress()) {
            response.getHeaders().put("Connection", "close");
        }
    }

    /** Answers without a backend server's answer; the time is when the caller may come back, if that is known. */
    void refuse(Refusal refusal, Optional<Duration> comeBack) {
        response.setStatus(refusal.status());
        if (refusal.retryable()) {
            response.getHeaders().put("Retry-After", context.retryAfter(refusal, comeBack));
        }
        closeIfStopping();
        response.getHeaders().put("Content-Length", 0L);
        out.finish();
    }

    /** Cuts the answer so that the caller sees that it is not complete. */
    void abort(String why) {
        out.abort(why);
    }
}
