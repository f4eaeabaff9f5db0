package org.baobabspindle.platform;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.baobabspindle.core.id.LogOffset;
import org.baobabspindle.core.log.LogCodec;
import org.baobabspindle.core.log.LogEnvelope;
import org.baobabspindle.core.log.ReplayedState;
import org.baobabspindle.core.log.SnapshotTaken;
import org.baobabspindle.logging.OncePerKeyLog;

/**
 * Reads the log continuously and passes every record to a sink. It starts at the first record, or at the first usable snapshot
 * if the first records have expired.
 */
public final class LogFollower {
    private static final Logger LOGGER = System.getLogger(LogFollower.class.getName());
    private static final Duration BATCHING_DELAY = Duration.ofMillis(400);
    private static final Duration RETRY_DELAY = Duration.ofMillis(200);

    private final LogClient client;
    private final Supplier<Instant> clock;
    private final Duration longPoll;
    private final Sink sink;
    private final OncePerKeyLog malformedSnapshots = new OncePerKeyLog(LogFollower.class);
    private final Semaphore readRequests = new Semaphore(0);
    private final CompletableFuture<Void> caughtUp = new CompletableFuture<>();
    private Optional<LogOffset> initialHead = Optional.empty();

    /** Receives the contents of the log, on the thread of the follower. */
    public interface Sink {
        /**
         * Replays a record.
         *
         * @param offset the offset of the record
         * @param line the record
         * @return the next offset to read
         */
        LogOffset replay(LogOffset offset, String line);

        /**
         * Replaces the replayed state by that of a snapshot.
         *
         * @param state the state of the snapshot
         */
        void restore(ReplayedState state);

        /**
         * Receives the head of the log after each read.
         *
         * @param requestedAt the time at which the read was sent
         * @param head the offset after the last record of the log
         */
        void logHeadRead(Instant requestedAt, LogOffset head);
    }

    /**
     * Creates a follower.
     *
     * @param client the log service
     * @param clock returns the current time
     * @param longPoll the maximum time that the log service waits for the next record
     * @param sink receives the records
     */
    public LogFollower(LogClient client, Supplier<Instant> clock, Duration longPoll, Sink sink) {
        this.client = client;
        this.clock = clock;
        this.longPoll = longPoll;
        this.sink = sink;
    }

    /**
     * Returns a future that completes when the follower has reached the head of the log that its first read returned.
     *
     * @return the future, without a value
     */
    public CompletableFuture<Void> caughtUp() {
        return caughtUp.copy();
    }

    /** Requests a read of the log without delay, because this entry has appended records and waits for their replay. */
    public void requestImmediateRead() {
        readRequests.release();
    }

    /** Reads the log until the thread is interrupted. */
    public void run() {
        LogOffset next = LogOffset.of(0);
        boolean failing = false;
        while (!Thread.currentThread().isInterrupted()) {
            try {
                LogOffset previous = next;
                next = readPage(next);
                failing = false;
                if (caughtUp.isDone() && !next.equals(previous)) {
                    awaitMoreRecords();
                }
            } catch (IOException e) {
                if (!failing) {
                    LOGGER.log(Level.WARNING, "reading the log failed, retrying: {0}", e.getMessage());
                }
                failing = true;
                sleepBeforeRetry();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /**
     * Waits for further records, so that a busy log is not read once for each record; returns early if an immediate read is
     * requested.
     */
    private void awaitMoreRecords() throws InterruptedException {
        if (readRequests.tryAcquire(BATCHING_DELAY.toMillis(), TimeUnit.MILLISECONDS)) {
            readRequests.drainPermits();
        }
    }

    private LogOffset readPage(LogOffset next) throws IOException, InterruptedException {
        Instant requestedAt = clock.get();
        LogPage page = client.read(next, longPoll);
        if (page.isExpired()) {
            return restoreSnapshot(page.firstRetained());
        }
        if (page.head().compareTo(next) < 0) {
            throw new IOException(
                    "head of the log at " + page.head() + " is before the offset " + next + " already read");
        }
        if (initialHead.isEmpty()) {
            initialHead = Optional.of(page.head());
        }
        LogOffset position = next;
        for (String line : page.records()) {
            position = sink.replay(position, line);
        }
        sink.logHeadRead(requestedAt, page.head());
        if (position.compareTo(initialHead.get()) >= 0) {
            caughtUp.complete(null);
        }
        return position;
    }

    /**
     * Restores the first snapshot for which the log still holds all records that it does not cover, and returns the next offset
     * to read.
     */
    private LogOffset restoreSnapshot(LogOffset firstRetained) throws IOException, InterruptedException {
        LogOffset next = firstRetained;
        while (true) {
            LogPage page = client.read(next, Duration.ZERO);
            if (page.isExpired() || page.records().isEmpty()) {
                throw new IOException("no usable snapshot in the log from offset " + firstRetained);
            }
            for (String line : page.records()) {
                Optional<ReplayedState> state = parseSnapshot(line, page.firstRetained());
                if (state.isPresent()) {
                    sink.restore(state.get());
                    return state.get().nextOffset();
                }
                next = next.next();
            }
        }
    }

    private Optional<ReplayedState> parseSnapshot(String line, LogOffset firstRetained) {
        if (!line.contains("snapshot-taken")) {
            return Optional.empty();
        }
        Optional<LogEnvelope> envelope = LogCodec.read(line);
        if (envelope.isEmpty() || !(envelope.get().body() instanceof SnapshotTaken snapshot)) {
            return Optional.empty();
        }
        if (snapshot.covers().compareTo(firstRetained) < 0) {
            return Optional.empty();
        }
        try {
            return Optional.of(ReplayedState.restore(snapshot.state()));
        } catch (IOException | RuntimeException e) {
            String writer =
                    envelope.get().writer() + " number " + envelope.get().sequence();
            malformedSnapshots.warn(writer, "ignoring the malformed snapshot in the record of " + writer + ": " + e);
            return Optional.empty();
        }
    }

    private static void sleepBeforeRetry() {
        try {
            Thread.sleep(RETRY_DELAY.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
