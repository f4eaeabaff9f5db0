package org.baobabspindle.gateway;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.http.Framing;
import org.baobabspindle.port.ForwardingHeaders;
import org.baobabspindle.port.MeteredConnection;
import org.eclipse.jetty.client.ByteBufferRequestContent;
import org.eclipse.jetty.client.HttpResponseException;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;

/**
 * One request that is sent to a backend server or through another entry, and its response. The listener is always called
 * on a worker thread.
 */
final class BackendCall implements Response.Listener {
    /** Headers that apply to a single connection, or that the HTTP client sets itself. */
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect",
            "accept-encoding");

    /** Headers that are set anew, or that apply between entries. */
    private static final Set<String> NOT_FORWARDED = Set.of("host", RelayMark.HEADER.toLowerCase(Locale.ROOT));

    /** The time before the deadline of a request at which its response is delivered at the latest. */
    private static final Duration DELIVERY_MARGIN = Duration.ofMillis(100);

    private final Destination destination;
    private final GatewayClock clock;
    private final ReachabilityMonitor reachability;
    private final Listener listener;
    private final CrashGuard guard;
    private final String requestIdHeader;
    private final String notRunHeader;
    private final String requestId;
    private final Request request;
    private final Executor workers;
    private final Moment deadline;
    private final AtomicReference<Progress> progress = new AtomicReference<>(Progress.UNSENT);
    private volatile boolean cancelled;
    private volatile boolean discarded;

    /** Receives the response to a call. */
    interface Listener {
        /** The status and headers of the response were received. */
        void headers(BackendCall call, Head head);

        /** A part of the body was received. */
        void content(BackendCall call, ByteBuffer bytes);

        /** Returns whether the response goes on after its last event if the request is sent again. */
        boolean isResumable();

        /** The call has ended. */
        void ended(BackendCall call, End end, String detail);
    }

    /**
     * The head of a response.
     *
     * @param status the status; 0 if no response was received
     * @param headers the headers
     * @param attribution what shows that the response answers the call
     * @param connectionCalls the number of calls that the connection has carried, this one included
     */
    record Head(int status, HttpFields headers, Attribution attribution, int connectionCalls) {
        /** The head of a response that was not received. */
        static final Head NONE = new Head(0, HttpFields.EMPTY, Attribution.UNPROVEN, 0);
    }

    /** Changes once: nothing is sent unless the call becomes {@link #SENT} as it begins. */
    private enum Progress {
        UNSENT,
        SENT,
        /** It must not be sent, which was found as it began. */
        PREVENTED,
        /** It must not be sent, and its end has been reported. */
        WITHDRAWN
    }

    /** How a call ended. */
    enum End {
        /** The complete response was received. */
        COMPLETE,
        /** The call failed before any byte of the request was sent. */
        NOT_SENT,
        /** The call failed after the request was sent: the response is missing, incomplete or invalid. */
        BROKEN,
        /** The connection ended in order, but so does that of a killed process, and the response has no framing. */
        DOUBTFUL,
        /** This entry cancelled the call before the response was complete. */
        CANCELLED
    }

    /**
     * The request to send.
     *
     * @param method the HTTP method
     * @param pathAndQuery the path and query, as received from the caller
     * @param host the host that the caller requested
     * @param headers the headers of the caller
     * @param body the whole body
     */
    record Message(String method, String pathAndQuery, String host, HttpFields headers, SegmentedBytes body) {
        /** Returns the message that a caller sent. */
        static Message of(org.eclipse.jetty.server.Request request, SegmentedBytes body) {
            return new Message(
                    request.getMethod(),
                    request.getHttpURI().getPathQuery(),
                    request.getHeaders().get("Host"),
                    request.getHeaders(),
                    body);
        }
    }

    /** Which connection carries a call. */
    enum ConnectionUse {
        /** One that may have carried other calls. */
        SHARED,
        /** A new one that carries no other call, so that a refusal without an id is certainly the answer to it. */
        SINGLE
    }

    /**
     * Values of the headers that the gateway sets itself.
     *
     * @param timeLeftMillis the time left until the deadline, in milliseconds
     * @param account the client account; empty on a public route
     * @param priority the priority, 0 first; if negative, the header is not sent
     * @param lastEventId the last event that the caller has received; empty to request the whole response
     */
    record GatewayHeaders(long timeLeftMillis, String account, int priority, String lastEventId) {}

    BackendCall(
            GatewayContext context,
            Destination destination,
            Message message,
            GatewayHeaders gatewayHeaders,
            ConnectionUse connectionUse,
            Listener listener) {
        ForwardingHeaders names = context.headerNames();
        this.destination = destination;
        this.clock = context.clock();
        this.reachability = context.reachability();
        this.listener = listener;
        this.guard = context.quarantine();
        this.notRunHeader = names.notRun();
        this.workers = context.client().getExecutor();
        this.deadline = clock.now().plus(Duration.ofMillis(gatewayHeaders.timeLeftMillis()));
        this.requestIdHeader = names.requestId();
        this.requestId = message.headers().get(names.requestId());
        this.request = context.client()
                .newRequest(destination.host(), destination.port())
                .method(message.method())
                .path(message.pathAndQuery());
        if (connectionUse == ConnectionUse.SINGLE) {
            request.tag(GatewayServer.SINGLE_USE);
        }
        request.headers(h -> {
            Set<String> replaced = names.replacedHeaders();
            for (HttpField f : message.headers()) {
                String name = f.getName().toLowerCase(Locale.ROOT);
                if (!HOP_BY_HOP.contains(name) && !replaced.contains(name) && !NOT_FORWARDED.contains(name)) {
                    h.add(f);
                }
            }
            h.put("Host", message.host());
            h.put(names.remainingMillis(), String.valueOf(gatewayHeaders.timeLeftMillis()));
            if (!gatewayHeaders.lastEventId().isEmpty()) {
                h.put(names.lastEventId(), gatewayHeaders.lastEventId());
            }
            destination.setHeaders(h, message.headers(), gatewayHeaders);
        });
        if (message.body().size() > 0) {
            request.body(new ByteBufferRequestContent(
                    (String) null, message.body().buffers().toArray(ByteBuffer[]::new)));
        }
    }

    Destination destination() {
        return destination;
    }

    /** Returns whether the request may have been sent. */
    boolean isSent() {
        return progress.get() == Progress.SENT;
    }

    void send() {
        if (progress.get() == Progress.WITHDRAWN) {
            return;
        }
        request.onRequestBegin(this::begin);
        destination.server().ifPresent(reachability::requestSent);
        request.send(this);
    }

    /** Jetty sends a request even if this throws, so that only an abort prevents it. */
    private void begin(Request r) {
        Progress next = Progress.PREVENTED;
        try {
            next = destination.mayReceive(clock.now()) ? Progress.SENT : Progress.PREVENTED;
        } finally {
            if (!progress.compareAndSet(Progress.UNSENT, next) || next == Progress.PREVENTED) {
                // An abort in this callback prevents that anything is sent (EvacuationTests).
                r.abort(new CancelledException("withdrawn, or the availability zone was evacuated"));
            }
        }
    }

    /**
     * Prevents that the call is sent, unless it has been; it then ends as {@link End#NOT_SENT}. Jetty's client may never
     * report the end of a request that another thread aborts just before it begins, so the end is reported here, and the
     * request is aborted when it begins.
     *
     * @return whether the call was withdrawn
     */
    boolean withdraw(String reason) {
        boolean withdrawn = progress.compareAndSet(Progress.UNSENT, Progress.WITHDRAWN);
        if (withdrawn) {
            workers.execute(() -> listener.ended(this, End.NOT_SENT, reason));
        }
        return withdrawn;
    }

    /** Cancels the call: closes its connection, or prevents that it is sent. */
    void cancel(String reason) {
        cancelled = true;
        if (!withdraw(reason) && progress.get() == Progress.SENT) {
            request.abort(new CancelledException(reason));
        }
    }

    /** Indicates that this entry cancelled a call. */
    private static final class CancelledException extends Exception {
        private static final long serialVersionUID = 1;

        CancelledException(String reason) {
            super(reason);
        }
    }

    @Override
    public void onHeaders(Response response) {
        destination.server().ifPresent(reachability::received);
        HttpFields headers = response.getHeaders();
        int status = response.getStatus();
        if (!isFinal(status)) {
            // Nothing that such a response states is believed, not even that the request has not run.
            discarded = true;
            response.abort(new HttpResponseException("status " + status + " is no final status", response));
            return;
        }
        Optional<MeteredConnection> connection = MeteredConnection.of(request);
        int connectionCalls = connection.map(MeteredConnection::calls).orElse(0);
        Attribution attribution = Attribution.of(requestId, headers.get(requestIdHeader), connectionCalls);
        if (attribution != Attribution.NAMED) {
            connection.ifPresent(MeteredConnection::closeAfterCall);
        }
        if (!destination.headReceived(status, headers, attribution, requestId != null, clock.now())) {
            discarded = true;
            cancelled = true;
            response.abort(new CancelledException("response belongs to another request"));
            return;
        }
        listener.headers(this, new Head(status, headers, attribution, connectionCalls));
    }

    /** Returns whether a final response may have a status. The client accepts others up to 999, and 101. */
    private static boolean isFinal(int status) {
        return status >= 200 && status <= 599;
    }

    @Override
    public void onContent(Response response, ByteBuffer content) {
        destination.server().ifPresent(reachability::received);
        MeteredConnection.of(request).ifPresent(c -> c.contentReceived(content.remaining()));
        if (!discarded) {
            listener.content(this, content);
        }
    }

    /** The response ended in order, or its connection did. */
    private void completed(Response response) {
        Optional<BackendServer> server = destination.server();
        if (server.isEmpty() || !endsWithConnection(response)) {
            listener.ended(this, End.COMPLETE, "");
            return;
        }
        CompletableFuture<Boolean> mayBeCut;
        try {
            mayBeCut = guard.mayBeCut(server.get(), listener.isResumable());
        } catch (RuntimeException | Error e) {
            mayBeCut = CompletableFuture.failedFuture(e);
        }
        long left = Math.max(0, deadline.monotonicMillisSince(clock.now()) - DELIVERY_MARGIN.toMillis());
        mayBeCut.exceptionally(e -> false)
                .completeOnTimeout(false, left, TimeUnit.MILLISECONDS)
                .thenAcceptAsync(this::judged, workers);
    }

    /** Ends the call after its server was asked. A response that was cancelled meanwhile has been given up. */
    private void judged(boolean mayBeCut) {
        if (cancelled) {
            listener.ended(this, End.CANCELLED, "cancelled at the end of its connection");
        } else if (mayBeCut) {
            listener.ended(
                    this, End.DOUBTFUL, "the server may have ended with the connection of an answer without framing");
        } else {
            listener.ended(this, End.COMPLETE, "");
        }
    }

    /** Returns whether only the end of the connection shows that the response is whole; a refusal needs no body. */
    private boolean endsWithConnection(Response response) {
        int status = response.getStatus();
        boolean bodiless = HttpMethod.HEAD.is(request.getMethod())
                || status == HttpStatus.MISDIRECTED_REQUEST_421
                || response.getHeaders().contains(notRunHeader);
        return !bodiless && Framing.of(status, response.getHeaders()) == Framing.CONNECTION;
    }

    @Override
    public void onComplete(Result result) {
        destination.server().ifPresent(s -> reachability.ended(s, Optional.ofNullable(result.getFailure()), isSent()));
        if (progress.get() == Progress.WITHDRAWN) {
            return;
        }
        if (result.isSucceeded()) {
            completed(result.getResponse());
        } else {
            End failure = cancelled ? End.CANCELLED : End.BROKEN;
            listener.ended(this, isSent() ? failure : End.NOT_SENT, String.valueOf(result.getFailure()));
        }
    }
}
