package org.baobabspindle.node;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.log.EntryDescription;
import org.baobabspindle.core.request.Outcome;
import org.baobabspindle.logging.DecisionLog;
import org.baobabspindle.peer.PeerAddress;
import org.baobabspindle.peer.PeerClient;
import org.baobabspindle.peer.PeerMessage;
import org.baobabspindle.serving.CallerRequest;
import org.baobabspindle.serving.EntryTables;
import org.baobabspindle.serving.RequestService;
import org.baobabspindle.serving.ResponseSink;

/** Forwards a request to the only entry that may run it and passes on the complete response. */
final class PeerForwarder implements RequestService.Forwarder {
    private final EntryTables tables;
    private final PeerClient peers;

    PeerForwarder(EntryTables tables, PeerClient peers) {
        this.tables = tables;
        this.peers = peers;
    }

    @Override
    public Outcome forward(Incarnation home, CallerRequest request, ResponseSink sink) {
        Optional<EntryDescription> entry =
                tables.log().with(v -> v.state().membership().find(home));
        if (entry.isEmpty()) {
            return new Outcome.Unknown("entry " + home + ", the only one that may run this key, is gone");
        }
        DecisionLog.write(
                "forward", "the idempotency key belongs to another entry", "home", home, "account", request.account());
        PeerAddress address =
                new PeerAddress(entry.get().peerHost(), entry.get().peerPort());
        Duration left = Duration.between(tables.clock().instant(), request.deadline());
        PeerMessage.ForwardAsk ask = new PeerMessage.ForwardAsk(
                request.account(),
                request.key().orElseThrow().value(),
                request.method(),
                request.path(),
                request.contentType(),
                request.body(),
                left.toMillis());
        try {
            PeerMessage answer = peers.ask(address, ask, left).get();
            return deliver(answer, sink);
        } catch (ExecutionException e) {
            return new Outcome.Unknown("entry " + home + ", the only one that may run this key, does not answer");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Outcome.Unknown("interrupted while entry " + home + " ran the request");
        }
    }

    /** Passes on the response of the other entry, which may be a problem document. */
    private static Outcome deliver(PeerMessage message, ResponseSink sink) {
        if (!(message instanceof PeerMessage.ForwardAnswer answer)) {
            return new Outcome.Unknown("the entry that may run this key failed");
        }
        try {
            sink.begin(answer.status(), answer.contentType());
            sink.write(answer.body().getBytes(StandardCharsets.UTF_8));
            return new Outcome.Completed();
        } catch (IOException e) {
            return new Outcome.Unknown("the caller left: " + e.getMessage());
        }
    }
}
