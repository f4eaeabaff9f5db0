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
 * Appends the records of this entry in order and in batches. A batch whose answer was lost is sent again with the same
 * sequences; replay drops what was there already. The next batch waits until the one before has been replayed.
 */
public final class LogAppender {
    private static final Logger LOGGER = System.getLogger(LogAppender.class.getName());
    private static final int MAX_BATCH = 200;
    private static final Duration RETRY_PAUSE = Duration.ofMillis(200);
    private static final Duration REPLAY_WAIT = Duration.ofMillis(1_500);

    private final LogClient client;
    private final Incarnation self;
    private final Map<String, Long> appended = new HashMap<>();
    private final TreeMap<Long, Pending> pending = new TreeMap<>();
    private Runnable appendedNotice = () -> {};
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

    private record Pending(String line, CompletableFuture<AppendResult> settled) {}

    /**
     * How a record ended.
     *
     * @param verdict the verdict of replay
     * @param offset the offset of the record
     */
    public record AppendResult(Verdict verdict, LogOffset offset) {}

    /**
     * Queues a record. The future completes when this entry has replayed the record, however long that takes.
     *
     * @param record the record
     * @return the verdict on the record
     */
    public synchronized CompletableFuture<AppendResult> append(LogRecord record) {
        CompletableFuture<AppendResult> settled = new CompletableFuture<>();
        String line = LogCodec.write(new LogEnvelope(self, nextSequence, record));
        pending.put(nextSequence, new Pending(line, settled));
        nextSequence++;
        appended.merge(record.getClass().getSimpleName(), 1L, Long::sum);
        notifyAll();
        return settled;
    }

    /**
     * Notes that a record of this entry was replayed.
     *
     * @param sequence the sequence of the record
     * @param verdict the verdict; duplicates settle nothing
     * @param offset the offset of the record
     */
    public void recordReplayed(long sequence, Verdict verdict, LogOffset offset) {
        if (verdict.kind() == Verdict.Kind.DUPLICATE) {
            return;
        }
        Pending done;
        synchronized (this) {
            done = pending.remove(sequence);
            notifyAll();
        }
        if (done != null) {
            done.settled().complete(new AppendResult(verdict, offset));
        }
    }

    /**
     * Notes that records of this entry were replayed unseen, within a snapshot; their verdicts are lost.
     *
     * @param sequence the sequence of the last such record
     */
    public void coveredBySnapshot(long sequence) {
        List<Pending> lost;
        synchronized (this) {
            lost = new ArrayList<>(pending.headMap(sequence, true).values());
            pending.headMap(sequence, true).clear();
            notifyAll();
        }
        AppendResult unknown = new AppendResult(Verdict.refused("the verdict was lost in a snapshot"), LogOffset.of(0));
        lost.forEach(p -> p.settled().complete(unknown));
    }

    /**
     * Returns the records queued so far by kind.
     *
     * @return the counts by the name of the record
     */
    public synchronized Map<String, Long> appendedByType() {
        return Map.copyOf(appended);
    }

    /**
     * Sets what is told whenever records have been appended.
     *
     * @param notice called on the appending thread
     */
    public synchronized void setAppendListener(Runnable notice) {
        appendedNotice = notice;
    }

    private synchronized Runnable appendedNotice() {
        return appendedNotice;
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
        for (Map.Entry<Long, Pending> e : pending.entrySet()) {
            if (batch.size() == MAX_BATCH) {
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
            LOGGER.log(Level.WARNING, "append of {0} records is in doubt: {1}", lines.size(), e.getMessage());
            Thread.sleep(RETRY_PAUSE.toMillis());
            return;
        }
        appendedNotice().run();
        awaitReplay(batch.lastKey());
    }

    private synchronized void awaitReplay(long sequence) throws InterruptedException {
        long until = System.nanoTime() + REPLAY_WAIT.toNanos();
        while (pending.containsKey(sequence)) {
            long left = (until - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                return;
            }
            wait(left);
        }
    }
}
