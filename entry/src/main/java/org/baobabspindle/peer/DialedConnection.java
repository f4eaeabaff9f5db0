package org.baobabspindle.peer;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import org.baobabspindle.core.id.Incarnation;
import org.eclipse.jetty.io.EndPoint;

/** A connection that this entry opened. It authenticates first; replies are matched to requests by their ids. */
final class DialedConnection extends FrameConnection {
    private final Incarnation self;
    private final PeerSecret secret;
    private final CompletableFuture<DialedConnection> authenticated = new CompletableFuture<>();
    private final AtomicLong lastId = new AtomicLong();
    private final Map<Long, CompletableFuture<PeerMessage>> pendingReplies = new ConcurrentHashMap<>();
    private volatile boolean closed;

    DialedConnection(EndPoint endPoint, Executor executor, Incarnation self, PeerSecret secret) {
        super(endPoint, executor);
        this.self = self;
        this.secret = secret;
    }

    /** Returns a future that completes once the proof has been sent; it fails if the connection is closed before. */
    CompletableFuture<DialedConnection> authenticated() {
        return authenticated;
    }

    boolean closed() {
        return closed;
    }

    @Override
    int maxFrameBytes() {
        return FrameCodec.MAX_FRAME_BYTES;
    }

    @Override
    void received(PeerFrame frame) throws IOException {
        if (!authenticated.isDone()) {
            if (!(frame.message() instanceof PeerMessage.Challenge challenge)) {
                throw new IOException("first message of the peer is not a challenge");
            }
            String mac = secret.computeMac(challenge.nonce(), self);
            send(new PeerFrame(0, true, new PeerMessage.Proof(self, mac)));
            authenticated.complete(this);
            return;
        }
        CompletableFuture<PeerMessage> reply = pendingReplies.remove(frame.id());
        if (reply != null && frame.answer()) {
            reply.complete(
                    frame.message() instanceof PeerMessage.Unknown
                            ? new PeerMessage.Failed("the type of the reply is unknown")
                            : frame.message());
        }
    }

    /** Sends a request and returns a future of its reply, which fails if the connection is closed before. */
    CompletableFuture<PeerMessage> ask(PeerMessage request, PeerTraffic traffic) {
        long id = lastId.incrementAndGet();
        CompletableFuture<PeerMessage> reply = new CompletableFuture<>();
        pendingReplies.put(id, reply);
        traffic.recordSent(request, send(new PeerFrame(id, false, request)));
        if (closed) {
            reply.completeExceptionally(new IOException("connection is closed"));
        }
        return reply.whenComplete((result, failure) -> pendingReplies.remove(id));
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        closed = true;
        authenticated.completeExceptionally(
                new PeerUnreachableException("connection closed before authentication", cause));
        pendingReplies
                .values()
                .forEach(reply -> reply.completeExceptionally(new IOException("peer connection closed", cause)));
    }
}
