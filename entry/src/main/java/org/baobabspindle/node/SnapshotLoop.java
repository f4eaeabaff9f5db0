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

/** Keeps the log short: appends snapshots when enough records have come, and lets go of intents past their lifetime. */
final class SnapshotLoop {
    private final EntryTables tables;
    private final RecordAppender appends;
    private final int every;
    private final IntentExpiry intents = new IntentExpiry();

    SnapshotLoop(EntryTables tables, RecordAppender appends, int every) {
        this.tables = tables;
        this.appends = appends;
        this.every = every;
    }

    /** Lets go of intents past their lifetime; the first entry by rank does so. */
    void expireIntents() {
        Instant now = tables.clock().instant();
        Optional<IntentsExpired> due = tables.log().with(v -> {
            Optional<IntentsExpired> expired = intents.poll(now, v.state().nextOffset());
            return rank(v.state()) == 0 ? expired : Optional.empty();
        });
        due.ifPresent(expired -> {
            DecisionLog.write("expire-intents", "past " + IntentExpiry.LIFETIME, "through", expired.through());
            appends.append(expired);
        });
    }

    private int rank(ReplayedState state) {
        List<Incarnation> entries =
                state.membership().entries().stream().map(EntryDescription::id).toList();
        return Rendezvous.rank("snapshot", entries).indexOf(tables.id());
    }

    /** Looks once; the longer the last snapshot is past due, the more entries may write the next. */
    void run() {
        Optional<SnapshotTaken> due = tables.log().with(v -> {
            long since =
                    v.state().nextOffset().value() - v.state().lastSnapshot().value();
            long allowed = since / every;
            int rank = rank(v.state());
            return rank >= 0 && rank < allowed ? Optional.of(take(v.state())) : Optional.empty();
        });
        due.ifPresent(snapshot -> {
            DecisionLog.write("snapshot", every + " records since the last one", "covers", snapshot.covers());
            appends.append(snapshot).join();
        });
    }

    private static SnapshotTaken take(ReplayedState state) {
        LogOffset covers = state.nextOffset();
        JsonNode document = state.snapshot();
        try {
            if (!ReplayedState.restore(document).snapshot().equals(document)) {
                throw new IllegalStateException("a snapshot does not restore to the state it was taken of");
            }
        } catch (IOException e) {
            throw new IllegalStateException("a snapshot cannot be restored", e);
        }
        return new SnapshotTaken(covers, document);
    }
}
