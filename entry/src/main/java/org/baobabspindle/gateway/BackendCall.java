package org.baobabspindle.gateway;

import java.nio.ByteBuffer;
import java.util.Locale;
import java.util.Set;
import org.baobabspindle.core.dispatch.Target;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.port.ForwardingHeaders;
import org.eclipse.jetty.client.ByteBufferRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;

/** One request sent to a backend server, and what came back. Every call of the listener is made on a worker. */
final class BackendCall implements Response.Listener {
    /** Headers that concern one connection only, or that the HTTP client sets itself. */
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

    private final BackendServer server;
    private final ServerNotices notices;
    private final Listener listener;
    private final ForwardingHeaders names;
    private final String requestId;
    private final Request request;
    private volatile boolean sent;
    private volatile boolean cancelled;
    private boolean foreign;

    /** Hears what comes of a call. */
    interface Listener {
        /** The status and headers of the answer have come. */
        void headers(BackendCall call, int status, HttpFields headers);

        /** A piece of the body has come. */
        void content(BackendCall call, ByteBuffer bytes);

        /** The call is over. */
        void ended(BackendCall call, End end, String detail);
    }

    /** How a call ended. */
    enum End {
        /** The whole answer has come. */
        COMPLETE,
        /** No byte was sent. */
        NOT_SENT,
        /** The backend server broke the call off: the answer did not come or not whole. */
        BROKEN,
        /** This entry ended the call before the whole answer had come. */
        CANCELLED
    }

    /**
     * What is sent.
     *
     * @param method the HTTP method
     * @param pathAndQuery the path and query as the caller sent them
     * @param host the host that the caller asked for
     * @param headers the headers of the caller
     * @param body the whole body
     */
    record Message(String method, String pathAndQuery, String host, HttpFields headers, ByteBuffer body) {
        /** Returns what a caller sent. */
        static Message of(org.eclipse.jetty.server.Request request, byte[] body) {
            return new Message(
                    request.getMethod(),
                    request.getHttpURI().getPathQuery(),
                    request.getHeaders().get("Host"),
                    request.getHeaders(),
                    ByteBuffer.wrap(body));
        }
    }

    /**
     * The headers that the gateway sets.
     *
     * @param timeLeftMillis the time left, in milliseconds
     * @param account the client account; empty on a public route
     * @param priority the urgency, 0 first; negative states none
     * @param lastEventId the last event that the caller has; empty for a whole answer
     */
    record GatewayHeaders(long timeLeftMillis, String account, int priority, String lastEventId) {}

    BackendCall(
            HttpClient client,
            Target target,
            Message message,
            GatewayHeaders stamped,
            ForwardingHeaders names,
            ServerNotices notices,
            Listener listener) {
        this.server = target.server();
        this.notices = notices;
        this.listener = listener;
        this.names = names;
        this.requestId = message.headers().get(names.requestId());
        this.request = client.newRequest(target.server().host(), target.server().port())
                .method(message.method())
                .path(message.pathAndQuery());
        request.headers(h -> {
            Set<String> replaced = names.replaced();
            for (HttpField f : message.headers()) {
                String name = f.getName().toLowerCase(Locale.ROOT);
                if (!HOP_BY_HOP.contains(name) && !replaced.contains(name) && !name.equals("host")) {
                    h.add(f);
                }
            }
            h.put("Host", message.host());
            h.put(names.expectInstance(), target.server().id().value());
            h.put(names.timeLeft(), String.valueOf(stamped.timeLeftMillis()));
            if (!stamped.account().isEmpty()) {
                h.put(names.account(), stamped.account());
            }
            if (stamped.priority() >= 0) {
                h.put(names.priority(), String.valueOf(stamped.priority()));
            }
            if (!stamped.lastEventId().isEmpty()) {
                h.put(names.lastEventId(), stamped.lastEventId());
            }
        });
        if (message.body().hasRemaining()) {
            request.body(
                    new ByteBufferRequestContent((String) null, message.body().slice()));
        }
    }

    BackendServer server() {
        return server;
    }

    void send() {
        request.onRequestBegin(r -> sent = true);
        request.send(this);
    }

    /** Ends the call; the backend server sees its connection close. */
    void cancel(String reason) {
        cancelled = true;
        request.abort(new CancelledException(reason));
    }

    /** Says that a call was ended by this entry. */
    private static final class CancelledException extends Exception {
        private static final long serialVersionUID = 1;

        CancelledException(String reason) {
            super(reason);
        }
    }

    @Override
    public void onHeaders(Response response) {
        HttpFields headers = response.getHeaders();
        notices.answered(server, response.getStatus(), headers.contains(names.leaving()), headers.get("Retry-After"));
        String echoed = response.getHeaders().get(names.requestId());
        boolean refusal = response.getHeaders().contains(names.notRun()) || response.getStatus() == 421;
        if (requestId != null && !requestId.equals(echoed) && !(echoed == null && refusal)) {
            foreign = true;
            cancelled = true;
            response.abort(new CancelledException("the answer belongs to another request: " + echoed));
            return;
        }
        listener.headers(this, response.getStatus(), response.getHeaders());
    }

    @Override
    public void onContent(Response response, ByteBuffer content) {
        if (!foreign) {
            listener.content(this, content);
        }
    }

    @Override
    public void onComplete(Result result) {
        if (result.isSucceeded()) {
            listener.ended(this, End.COMPLETE, "");
        } else {
            End broken = cancelled ? End.CANCELLED : End.BROKEN;
            listener.ended(this, sent ? broken : End.NOT_SENT, String.valueOf(result.getFailure()));
        }
    }
}
