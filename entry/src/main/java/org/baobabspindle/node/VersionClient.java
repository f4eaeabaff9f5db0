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

/** Requests the replayed versions of other entries and records their answers as evidence of freshness. */
final class VersionClient {
    private static final Duration TIMEOUT = Duration.ofMillis(800);

    private final EntryTables tables;
    private final PeerClient peers;

    VersionClient(EntryTables tables, PeerClient peers) {
        this.tables = tables;
        this.peers = peers;
    }

    /** The answer of an entry: its versions of the configuration and of the membership of the requested region. */
    record VersionReply(Incarnation from, VersionVector vector) {}

    /** Requests the versions of an entry of any region; only answers of this entry's own region count for freshness. */
    CompletableFuture<VersionReply> ask(EntryDescription entry) {
        Instant askedAt = tables.clock().instant();
        PeerMessage ask = new PeerMessage.VersionAsk(entry.region());
        return peers.ask(new PeerAddress(entry.peerHost(), entry.peerPort()), ask, TIMEOUT)
                .thenApply(answer -> recordReply(askedAt, entry, answer));
    }

    private VersionReply recordReply(Instant askedAt, EntryDescription entry, PeerMessage message) {
        if (!(message instanceof PeerMessage.VersionAnswer answer)) {
            throw new IllegalStateException("not an answer to a version request: " + message);
        }
        VersionVector vector = new VersionVector(answer.configuration(), answer.membership());
        boolean counts = answer.from().equals(entry.id())
                && entry.region().equals(tables.self().region());
        if (counts) {
            tables.log().use(v -> v.freshness().peerAnswered(answer.from(), askedAt, vector));
        }
        return new VersionReply(answer.from(), vector);
    }

    /** Waits for a reply, which times out by itself; returns empty if the request failed or timed out. */
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
