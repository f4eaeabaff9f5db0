package org.baobabspindle.node;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.baobabspindle.core.group.Rendezvous;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.LogOffset;
import org.baobabspindle.core.log.EntryDescription;
import org.baobabspindle.core.log.IntentsExpired;
import org.baobabspindle.core.log.ReplayedState;
import org.baobabspindle.core.log.SnapshotTaken;
import org.baobabspindle.core.request.IntentExpiry;
import org.baobabspindle.logging.DecisionLog;
import org.baobabspindle.serving.EntryTables;
import org.baobabspindle.serving.RecordAppender;

/**
 * Keeps the log short: appends a snapshot after a number of records, and expires intents that are past their
 * lifetime.
 */
final class SnapshotLoop {
    private final EntryTables tables;
    private final RecordAppender appender;
    private final int recordsPerSnapshot;
    private final IntentExpiry intents = new IntentExpiry();

    SnapshotLoop(EntryTables tables, RecordAppender appender, int recordsPerSnapshot) {
        this.tables = tables;
        this.appender = appender;
        this.recordsPerSnapshot = recordsPerSnapshot;
    }

    /** Expires intents past their lifetime; only the entry of rank 0 does so. */
    void expireIntents() {
        Instant now = tables.clock().instant();
        Optional<IntentsExpired> due = tables.log().with(v -> {
            Optional<IntentsExpired> expired = intents.poll(now, v.state().nextOffset());
            return rank(v.state()) == 0 ? expired : Optional.empty();
        });
        due.ifPresent(expired -> {
            DecisionLog.write("expire-intents", "older than " + IntentExpiry.LIFETIME, "through", expired.through());
            appender.append(expired);
        });
    }

    private int rank(ReplayedState state) {
        List<Incarnation> entries =
                state.membership().entries().stream().map(EntryDescription::id).toList();
        return Rendezvous.rank("snapshot", entries).indexOf(tables.id());
    }

    /** Appends a snapshot if one is due; the longer it is overdue, the more entries, by rank, may append it. */
    void run() {
        Optional<SnapshotTaken> due = tables.log().with(v -> {
            long recordsSince =
                    v.state().nextOffset().value() - v.state().lastSnapshot().value();
            long eligibleEntries = recordsSince / recordsPerSnapshot;
            int rank = rank(v.state());
            return rank >= 0 && rank < eligibleEntries ? Optional.of(takeSnapshot(v.state())) : Optional.empty();
        });
        due.ifPresent(snapshot -> {
            DecisionLog.write(
                    "snapshot", recordsPerSnapshot + " records since the last snapshot", "covers", snapshot.covers());
            appender.append(snapshot).join();
        });
    }

    private static SnapshotTaken takeSnapshot(ReplayedState state) {
        LogOffset covers = state.nextOffset();
        JsonNode document = state.snapshot();
        try {
            if (!ReplayedState.restore(document).snapshot().equals(document)) {
                throw new IllegalStateException("the snapshot does not restore to the state that it was taken from");
            }
        } catch (IOException e) {
            throw new IllegalStateException("the snapshot cannot be restored", e);
        }
        return new SnapshotTaken(covers, document);
    }
}
