package org.baobabspindle.node;

import java.time.Instant;
import java.util.Optional;
import org.baobabspindle.core.id.LogOffset;
import org.baobabspindle.core.log.LogCodec;
import org.baobabspindle.core.log.LogEnvelope;
import org.baobabspindle.core.log.ReplayedState;
import org.baobabspindle.core.log.Verdict;
import org.baobabspindle.logging.DecisionLog;
import org.baobabspindle.platform.LogAppender;
import org.baobabspindle.platform.LogFollower;
import org.baobabspindle.serving.EntryTables;

/** Replays the records of the log into the shared tables and completes the appends of this entry. */
final class LogReplayer implements LogFollower.Sink {
    private final EntryTables tables;
    private final LogAppender appender;

    LogReplayer(EntryTables tables, LogAppender appender) {
        this.tables = tables;
        this.appender = appender;
    }

    @Override
    public LogOffset replay(LogOffset offset, String line) {
        Verdict verdict = tables.log().with(v -> v.state().apply(offset, line));
        Optional<LogEnvelope> envelope = LogCodec.read(line);
        if (envelope.isPresent() && envelope.get().writer().equals(tables.id())) {
            DecisionLog.write(
                    "replay",
                    verdict.kind() + " " + verdict.reason(),
                    "offset",
                    offset,
                    "record",
                    envelope.get().body().getClass().getSimpleName());
            appender.recordReplayed(envelope.get().sequence(), verdict, offset);
        }
        return offset.next();
    }

    @Override
    public void restore(ReplayedState state) {
        long sequence = state.lastSequence(tables.id());
        tables.log().use(v -> v.restore(state));
        appender.coveredBySnapshot(sequence);
        DecisionLog.write("restore", "the first records of the log have expired", "next", state.nextOffset());
    }

    @Override
    public void logHeadRead(Instant askedAt, LogOffset head) {
        tables.log().use(v -> v.freshness().logHeadRead(askedAt, head));
    }
}
