package org.baobabspindle.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.baobabspindle.core.id.LogOffset;
import org.baobabspindle.core.log.EntryDescription;
import org.baobabspindle.core.log.LogRecord;
import org.baobabspindle.logging.DecisionLog;
import org.baobabspindle.peer.PeerAddress;
import org.baobabspindle.peer.PeerClient;
import org.baobabspindle.peer.PeerMessage;
import org.baobabspindle.platform.LogAppender;
import org.baobabspindle.serving.EntryTables;
import org.baobabspindle.serving.RecordAppender;

/** Appends to the log and can have the other entries read it at once, without the delay in which they batch records. */
final class BroadcastingAppender implements RecordAppender {
    private static final Duration REPLAY_TIMEOUT = Duration.ofMillis(600);

    private final LogAppender appender;
    private final EntryTables tables;
    private final PeerClient peers;

    BroadcastingAppender(LogAppender appender, EntryTables tables, PeerClient peers) {
        this.appender = appender;
        this.tables = tables;
        this.peers = peers;
    }

    @Override
    public CompletableFuture<LogAppender.AppendResult> append(LogRecord record) {
        return appender.append(record);
    }

    @Override
    public CompletableFuture<Void> requestPeerReplay() {
        LogOffset upTo = tables.log().with(v -> v.state().nextOffset());
        List<EntryDescription> entries =
                tables.log().with(v -> v.state().membership().entries());
        List<CompletableFuture<Void>> replies = new ArrayList<>();
        for (EntryDescription e : entries) {
            if (!e.id().equals(tables.id())) {
                PeerAddress address = new PeerAddress(e.peerHost(), e.peerPort());
                replies.add(peers.ask(address, new PeerMessage.LogReadAsk(upTo), REPLAY_TIMEOUT)
                        .handle((answer, failure) -> {
                            if (failure != null) {
                                DecisionLog.write("spread", "an entry did not answer: " + failure, "entry", e.id());
                            }
                            return null;
                        }));
            }
        }
        return CompletableFuture.allOf(replies.toArray(CompletableFuture<?>[]::new));
    }
}
