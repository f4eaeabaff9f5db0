package org.baobabspindle.gateway;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import org.baobabspindle.http.Framing;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.server.Response;

/**
 * The response to the caller of one request: the status and headers of the first call whose response is forwarded, then
 * each event of a stream once and in order, from whichever call it is received. Every response is framed, so that one that
 * is cut never looks complete, whatever becomes of its connection. Guarded by the lock of its exchange.
 */
final class CallerResponse {
    private final GatewayContext context;
    private final Response response;
    private final CallerResponseWriter writer;

    /** Whether another entry relays the request. */
    private final boolean relayed;

    private final HttpVersion callerVersion;
    private final Framing streamFraming;

    /** The events of a stream that is sent once it is whole. */
    private final ResponseBuffer collected;

    private boolean closesConnection;
    private int status;
    private HttpFields headers = HttpFields.EMPTY;
    private boolean committed;
    private boolean headSent;
    private boolean tooLongForCaller;
    private long lastEventId = -1;
    private long lastEventOfCaller = -1;

    CallerResponse(GatewayContext context, Response response, boolean relayed, CallerResponseWriter out) {
        this.context = context;
        this.relayed = relayed;
        this.response = response;
        this.callerVersion = response.getRequest().getConnectionMetaData().getHttpVersion();
        this.streamFraming = Framing.ofUnknownLength(callerVersion);
        this.collected = new ResponseBuffer(context.bodyBudget());
        this.closesConnection = response.getRequest().getHeaders().contains(HttpHeader.CONNECTION, "close");
        this.writer = out;
    }

    /**
     * Sets the status and headers from those of a call, unless those of an earlier call have been committed.
     *
     * @param eventOfCaller the last event that the caller has received in an earlier attempt; -1 if there is none
     */
    void setHead(BackendCall.Head head, long eventOfCaller) {
        lastEventOfCaller = eventOfCaller;
        if (!committed) {
            status = head.status();
            headers = head.headers();
        }
    }

    /** Returns the status that was or would be sent to the caller. */
    int status() {
        return status;
    }

    /** Returns whether the response has begun, so that its status and headers no longer change. */
    boolean committed() {
        return committed;
    }

    /** Returns whether the status may already have been sent to the caller. */
    boolean headSent() {
        return headSent;
    }

    /** Returns whether a stream that has to be collected for its caller exceeds the memory for it, wherever it runs. */
    boolean isTooLongForCaller() {
        return tooLongForCaller;
    }

    /** Returns the id of the last event written to the caller; -1 if there is none. */
    long lastEventId() {
        return lastEventId;
    }

    /** Returns the HTTP version that the caller speaks. */
    HttpVersion callerVersion() {
        return callerVersion;
    }

    /** Returns whether the caller or this entry has announced that the connection ends with the response. */
    boolean closesConnection() {
        return closesConnection;
    }

    /** Writes an event unless it was written before; returns why it cannot be written, or empty. */
    Optional<String> writeEvent(EventSplitter.Event e) {
        if (e.id().isPresent()) {
            long id = e.id().getAsLong();
            long previous = Math.max(lastEventId, lastEventOfCaller);
            if (previous >= 0 && id <= previous) {
                return Optional.empty();
            }
            if (previous >= 0 && id > previous + 1) {
                return Optional.of("event ids are not contiguous");
            }
        }
        if (streamFraming == Framing.LENGTH && !collected.add(e.bytes())) {
            tooLongForCaller = true;
            return Optional.of("the stream is too long to be collected");
        }
        lastEventId = e.id().orElse(lastEventId);
        committed = true;
        if (streamFraming != Framing.LENGTH) {
            if (!headSent) {
                sendHead();
                response.getHeaders().put(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED);
            }
            writer.write(e.bytes());
        }
        return Optional.empty();
    }

    /** Returns whether the response to the last call completes this one. */
    boolean isCompletedBy(CallAnswer answer, Destination from, CallerAdmission admission) {
        boolean stream = admission.streaming() && answer.status() == 200;
        boolean eventsBefore = lastEventId >= 0 || admission.resumesStream();
        boolean repeatable = admission.route().orElseThrow().repeatable();
        boolean unstatedPromise = !repeatable && answer.isUnstatedPromise(context.headerNames());
        boolean complete = stream ? answer.isWholeStream(eventsBefore) : !committed;
        boolean mayBeCut = answer.framing() == Framing.CONNECTION && !from.mayEndWithConnection();
        return complete
                && !mayBeCut
                && !unstatedPromise
                && answer.headers().contains(context.headerNames().serverStamp());
    }

    /**
     * Completes the response.
     *
     * @param body the whole body if it was not streamed
     * @param afterLastEvent the bytes that follow the last event if it was
     */
    void finish(Optional<ResponseBuffer> body, ByteBuffer afterLastEvent) {
        if (headSent) {
            writer.write(afterLastEvent);
            writer.finish();
            return;
        }
        ResponseBuffer whole = body.orElse(collected);
        if (!whole.add(afterLastEvent)) {
            writer.abort("the stream is too long to be collected");
            return;
        }
        sendHead();
        response.getHeaders().put("Content-Length", whole.size());
        whole.buffers().forEach(writer::write);
        writer.finish();
    }

    /** Releases the memory of the response, which was written or aborted. */
    void release() {
        collected.clear();
    }

    private void sendHead() {
        committed = true;
        headSent = true;
        response.setStatus(status);
        ResponseHeaders.copyEndToEnd(headers, response.getHeaders());
        stateVersion();
        closeIfStopping();
    }

    /** States to an entry that relays the request which version its answer shows. */
    private void stateVersion() {
        if (relayed) {
            response.getHeaders()
                    .put(
                            RelayMark.VERSION_HEADER,
                            String.valueOf(context.fleet().version()));
        }
    }

    private void closeIfStopping() {
        if (context.stopping().inProgress()) {
            closesConnection = true;
            response.getHeaders().put("Connection", "close");
        }
    }

    /**
     * Sends a refusal by this entry.
     *
     * @param retryAfter the time after which the caller may retry; empty if it is unknown
     */
    void refuse(Refusal refusal, Optional<Duration> retryAfter) {
        if (relayed) {
            response.getHeaders().put(RelayMark.REFUSAL_HEADER, refusal.nameForEntries());
        }
        response.setStatus(refusal.status());
        if (refusal.retryable()) {
            response.getHeaders().put("Retry-After", context.retryAfter(refusal, retryAfter));
        } else {
            stateVersion();
        }
        closeIfStopping();
        response.getHeaders().put("Content-Length", 0L);
        writer.finish();
    }

    /** Aborts the connection unless the rest of the response is only left to be written. */
    void abortUnlessComplete(String reason) {
        if (!writer.isComplete()) {
            writer.abort(reason);
        }
    }

    /** Aborts the connection so that the caller can detect that the response is incomplete. */
    void abort(String reason) {
        writer.abort(reason);
    }
}
