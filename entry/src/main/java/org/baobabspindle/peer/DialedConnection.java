package org.baobabspindle.peer;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import org.baobabspindle.core.id.Incarnation;
import org.eclipse.jetty.io.EndPoint;

/** A connection that this entry opened. It proves itself first; answers are matched to questions by their numbers. */
final class DialedConnection extends FrameConnection {
    private final Incarnation self;
    private final PeerSecret secret;
    private final CompletableFuture<DialedConnection> proven = new CompletableFuture<>();
    private final AtomicLong lastId = new AtomicLong();
    private final Map<Long, CompletableFuture<PeerMessage>> waiting = new ConcurrentHashMap<>();
    private volatile boolean closed;

    DialedConnection(EndPoint endPoint, Executor executor, Incarnation self, PeerSecret secret) {
        super(endPoint, executor);
        this.self = self;
        this.secret = secret;
    }

    /** Completes once the proof has been sent; fails if the connection ended before. */
    CompletableFuture<DialedConnection> proven() {
        return proven;
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
        if (!proven.isDone()) {
            if (!(frame.message() instanceof PeerMessage.Challenge challenge)) {
                throw new IOException("the peer did not begin with a challenge");
            }
            String mac = secret.prove(challenge.nonce(), self);
            send(new PeerFrame(0, true, new PeerMessage.Proof(self, mac)));
            proven.complete(this);
            return;
        }
        CompletableFuture<PeerMessage> answer = waiting.remove(frame.id());
        if (answer != null && frame.answer()) {
            answer.complete(frame.message());
        }
    }

    CompletableFuture<PeerMessage> ask(PeerMessage ask, PeerTraffic traffic) {
        long id = lastId.incrementAndGet();
        CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
        waiting.put(id, answer);
        traffic.sent(ask, send(new PeerFrame(id, false, ask)));
        if (closed) {
            answer.completeExceptionally(new IOException("the connection is closed"));
        }
        return answer.whenComplete((a, e) -> waiting.remove(id));
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        closed = true;
        proven.completeExceptionally(new PeerUnreachableException("the connection ended before it was proven", cause));
        waiting.values().forEach(w -> w.completeExceptionally(new IOException("the peer connection broke", cause)));
    }
}
