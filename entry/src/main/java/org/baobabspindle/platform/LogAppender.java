package org.baobabspindle.platform;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.LogOffset;
import org.baobabspindle.core.log.LogCodec;
import org.baobabspindle.core.log.LogEnvelope;
import org.baobabspindle.core.log.LogRecord;
import org.baobabspindle.core.log.Verdict;

/**
 * Appends the records of this entry to the log, in order and in batches. If an append fails, the records are sent again with
 * the same sequence numbers, and replay drops those that the log already holds. Between batches the appender waits until the
 * previous batch has been replayed, for at most {@code REPLAY_TIMEOUT}; records not replayed by then are sent again.
 */
public final class LogAppender {
    private static final Logger LOGGER = System.getLogger(LogAppender.class.getName());
    private static final int MAX_BATCH_RECORDS = 200;
    private static final Duration RETRY_DELAY = Duration.ofMillis(200);
    private static final Duration REPLAY_TIMEOUT = Duration.ofMillis(1_500);

    private final LogClient client;
    private final Incarnation self;
    private final Map<String, Long> appendedCounts = new HashMap<>();
    private final TreeMap<Long, PendingAppend> pending = new TreeMap<>();
    private Runnable appendListener = () -> {};
    private long nextSequence = 1;

    /**
     * Creates an appender.
     *
     * @param client the log service
     * @param self this entry
     */
    public LogAppender(LogClient client, Incarnation self) {
        this.client = client;
        this.self = self;
    }

    private record PendingAppend(String line, CompletableFuture<AppendResult> result) {}

    /**
     * The result of an append.
     *
     * @param verdict the verdict of replay on the record
     * @param offset the offset of the record; 0 if it is not known
     */
    public record AppendResult(Verdict verdict, LogOffset offset) {}

    /**
     * Queues a record for appending. The future completes when this entry has replayed the record, without a time limit.
     *
     * @param record the record
     * @return the verdict on the record and its offset
     */
    public synchronized CompletableFuture<AppendResult> append(LogRecord record) {
        CompletableFuture<AppendResult> result = new CompletableFuture<>();
        String line = LogCodec.write(new LogEnvelope(self, nextSequence, record));
        pending.put(nextSequence, new PendingAppend(line, result));
        nextSequence++;
        appendedCounts.merge(record.getClass().getSimpleName(), 1L, Long::sum);
        notifyAll();
        return result;
    }

    /**
     * Completes the append of a record of this entry that was replayed.
     *
     * @param sequence the sequence number of the record
     * @param verdict the verdict; that on a duplicate is ignored, because the first copy has already completed the append
     * @param offset the offset of the record
     */
    public void recordReplayed(long sequence, Verdict verdict, LogOffset offset) {
        if (verdict.kind() == Verdict.Kind.DUPLICATE) {
            return;
        }
        PendingAppend replayed;
        synchronized (this) {
            replayed = pending.remove(sequence);
            notifyAll();
        }
        if (replayed != null) {
            replayed.result().complete(new AppendResult(verdict, offset));
        }
    }

    /**
     * Completes the appends of records that a restored snapshot covers. Their verdicts and offsets are unknown.
     *
     * @param sequence the sequence number of the last record of this entry that the snapshot covers
     */
    public void coveredBySnapshot(long sequence) {
        List<PendingAppend> covered;
        synchronized (this) {
            covered = new ArrayList<>(pending.headMap(sequence, true).values());
            pending.headMap(sequence, true).clear();
            notifyAll();
        }
        AppendResult unknownResult =
                new AppendResult(Verdict.refused("the verdict was lost in a snapshot"), LogOffset.of(0));
        covered.forEach(p -> p.result().complete(unknownResult));
    }

    /**
     * Returns the number of records queued so far by record type.
     *
     * @return the counts by the simple name of the record type
     */
    public synchronized Map<String, Long> appendedByType() {
        return Map.copyOf(appendedCounts);
    }

    /**
     * Sets the listener that is called after each append that succeeded.
     *
     * @param listener called on the appending thread
     */
    public synchronized void setAppendListener(Runnable listener) {
        appendListener = listener;
    }

    private synchronized Runnable appendListener() {
        return appendListener;
    }

    /** Appends queued records until the thread is interrupted. */
    public void run() {
        try {
            while (!Thread.currentThread().isInterrupted()) {
                appendBatch(nextBatch());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized NavigableMap<Long, String> nextBatch() throws InterruptedException {
        while (pending.isEmpty()) {
            wait();
        }
        TreeMap<Long, String> batch = new TreeMap<>();
        for (Map.Entry<Long, PendingAppend> e : pending.entrySet()) {
            if (batch.size() == MAX_BATCH_RECORDS) {
                break;
            }
            batch.put(e.getKey(), e.getValue().line());
        }
        return batch;
    }

    private void appendBatch(NavigableMap<Long, String> batch) throws InterruptedException {
        List<String> lines = new ArrayList<>(batch.values());
        try {
            client.append(lines);
        } catch (IOException e) {
            LOGGER.log(
                    Level.WARNING,
                    "append of {0} records failed with an unknown outcome and is retried: {1}",
                    lines.size(),
                    e.getMessage());
            Thread.sleep(RETRY_DELAY.toMillis());
            return;
        }
        appendListener().run();
        awaitReplay(batch.lastKey());
    }

    private synchronized void awaitReplay(long sequence) throws InterruptedException {
        long deadline = System.nanoTime() + REPLAY_TIMEOUT.toNanos();
        while (pending.containsKey(sequence)) {
            long remainingMillis = (deadline - System.nanoTime()) / 1_000_000;
            if (remainingMillis <= 0) {
                return;
            }
            wait(remainingMillis);
        }
    }
}
