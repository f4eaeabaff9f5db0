package org.baobabspindle.node;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.baobabspindle.core.freshness.VersionVector;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.log.EntryDescription;
import org.baobabspindle.peer.PeerAddress;
import org.baobabspindle.peer.PeerClient;
import org.baobabspindle.peer.PeerMessage;
import org.baobabspindle.serving.EntryTables;

/** Asks other entries how far they have replayed and notes their answers. */
final class VersionClient {
    private static final Duration TIMEOUT = Duration.ofMillis(800);

    private final EntryTables tables;
    private final PeerClient peers;

    VersionClient(EntryTables tables, PeerClient peers) {
        this.tables = tables;
        this.peers = peers;
    }

    /** What an entry answered. */
    record VersionReply(Incarnation from, VersionVector vector) {}

    /** Asks an entry of any region; answers of the own region count for freshness. */
    CompletableFuture<VersionReply> ask(EntryDescription entry) {
        Instant askedAt = tables.clock().instant();
        PeerMessage ask = new PeerMessage.VersionAsk(entry.region());
        return peers.ask(new PeerAddress(entry.peerHost(), entry.peerPort()), ask, TIMEOUT)
                .thenApply(answer -> note(askedAt, entry, answer));
    }

    private VersionReply note(Instant askedAt, EntryDescription entry, PeerMessage message) {
        if (!(message instanceof PeerMessage.VersionAnswer answer)) {
            throw new IllegalStateException("not an answer to a question for versions: " + message);
        }
        VersionVector vector = new VersionVector(answer.configuration(), answer.membership());
        boolean counts = answer.from().equals(entry.id())
                && entry.region().equals(tables.self().region());
        if (counts) {
            tables.log().use(v -> v.freshness().peerAnswered(answer.from(), askedAt, vector));
        }
        return new VersionReply(answer.from(), vector);
    }

    /** Waits for an answer; its own timeout bounds the wait. */
    static Optional<VersionReply> await(CompletableFuture<VersionReply> answer) {
        try {
            return Optional.of(answer.get());
        } catch (ExecutionException e) {
            return Optional.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }
}
