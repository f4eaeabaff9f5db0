package org.baobabspindle.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
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

/** Reads the log from its first record, or from the first snapshot it still keeps, and hands every record to replay. */
public final class LogFollower {
    private static final Logger LOGGER = System.getLogger(LogFollower.class.getName());
    private static final Duration GATHER_PAUSE = Duration.ofMillis(400);
    private static final Duration RETRY_PAUSE = Duration.ofMillis(200);

    private final LogClient client;
    private final Supplier<Instant> clock;
    private final Duration longPoll;
    private final Sink sink;
    private final Semaphore nudges = new Semaphore(0);
    private final CompletableFuture<Void> caughtUp = new CompletableFuture<>();
    private Optional<LogOffset> headAtStart = Optional.empty();

    /** Takes what the log holds. */
    public interface Sink {
        /**
         * Replays a record.
         *
         * @param offset the offset of the record
         * @param line the record
         * @return the next offset wanted
         */
        LogOffset replay(LogOffset offset, String line);

        /**
         * Replaces the state by a snapshot.
         *
         * @param state the state
         */
        void restore(ReplayedState state);

        /**
         * Notes how far the log goes.
         *
         * @param askedAt when the read was sent
         * @param head the offset after the last record
         */
        void logHeadRead(Instant askedAt, LogOffset head);
    }

    /**
     * Creates a follower.
     *
     * @param client the log service
     * @param clock the present time
     * @param longPoll how long the log may wait for the next record
     * @param sink what takes the records
     */
    public LogFollower(LogClient client, Supplier<Instant> clock, Duration longPoll, Sink sink) {
        this.client = client;
        this.clock = clock;
        this.longPoll = longPoll;
        this.sink = sink;
    }

    /**
     * Returns when the follower has reached the head that it saw at its start.
     *
     * @return completes once, without value
     */
    public CompletableFuture<Void> caughtUp() {
        return caughtUp.copy();
    }

    /** Has the log read at once, since this entry has appended to it and waits for its records. */
    public void requestImmediateRead() {
        nudges.release();
    }

    /** Follows the log until the thread is interrupted. */
    public void run() {
        LogOffset next = LogOffset.of(0);
        boolean silent = false;
        while (!Thread.currentThread().isInterrupted()) {
            try {
                LogOffset before = next;
                next = step(next);
                silent = false;
                if (caughtUp.isDone() && !next.equals(before)) {
                    gather();
                }
            } catch (IOException e) {
                if (!silent) {
                    LOGGER.log(Level.WARNING, "the log cannot be read: {0}", e.getMessage());
                }
                silent = true;
                pause();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Lets records gather, so that a busy log is not read once for each record, unless this entry waits for its own. */
    private void gather() throws InterruptedException {
        if (nudges.tryAcquire(GATHER_PAUSE.toMillis(), TimeUnit.MILLISECONDS)) {
            nudges.drainPermits();
        }
    }

    private LogOffset step(LogOffset next) throws IOException, InterruptedException {
        Instant askedAt = clock.get();
        LogPage page = client.read(next, longPoll);
        if (page.isExpired()) {
            return restoreFrom(page.firstRetained());
        }
        if (page.head().compareTo(next) < 0) {
            throw new IOException("the log ends at " + page.head() + " before the offset " + next + " already read");
        }
        if (headAtStart.isEmpty()) {
            headAtStart = Optional.of(page.head());
        }
        LogOffset position = next;
        for (String line : page.records()) {
            position = sink.replay(position, line);
        }
        sink.logHeadRead(askedAt, page.head());
        if (position.compareTo(headAtStart.get()) >= 0) {
            caughtUp.complete(null);
        }
        return position;
    }

    /** Finds the first snapshot whose following records are all kept, and returns the offset to go on from. */
    private LogOffset restoreFrom(LogOffset first) throws IOException, InterruptedException {
        LogOffset next = first;
        while (true) {
            LogPage page = client.read(next, Duration.ZERO);
            if (page.isExpired() || page.records().isEmpty()) {
                throw new IOException("no whole snapshot is in the log from offset " + first);
            }
            for (String line : page.records()) {
                Optional<ReplayedState> state = snapshotIn(line, page.firstRetained());
                if (state.isPresent()) {
                    sink.restore(state.get());
                    return state.get().nextOffset();
                }
                next = next.next();
            }
        }
    }

    private static Optional<ReplayedState> snapshotIn(String line, LogOffset first) throws IOException {
        if (!line.contains("snapshot-taken")) {
            return Optional.empty();
        }
        Optional<LogEnvelope> envelope = LogCodec.read(line);
        if (envelope.isEmpty() || !(envelope.get().body() instanceof SnapshotTaken snapshot)) {
            return Optional.empty();
        }
        if (snapshot.covers().compareTo(first) < 0) {
            return Optional.empty();
        }
        return Optional.of(restore(snapshot.state()));
    }

    private static ReplayedState restore(JsonNode state) throws IOException {
        try {
            return ReplayedState.restore(state);
        } catch (JsonProcessingException e) {
            throw new IOException("the snapshot cannot be read", e);
        }
    }

    private static void pause() {
        try {
            Thread.sleep(RETRY_PAUSE.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
