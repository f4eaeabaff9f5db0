package org.baobabspindle.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.logging.EventLog;
import org.baobabspindle.logging.OncePerKeyLog;
import org.baobabspindle.port.Feed;
import org.baobabspindle.port.FeedPage;
import org.baobabspindle.port.FeedPosition;
import org.baobabspindle.port.FeedRecord;
import org.baobabspindle.port.PlatformStore;

/**
 * Polls a feed of the store with long polls. The first read fetches the latest record of each key; each further read
 * continues at the position where the last one ended. In a new era of the store, whose offsets are given out again, it
 * starts anew. The first read after a failure does not wait for records, so that the recovery of the store is noticed at
 * once.
 *
 * <p>Records that cannot be processed are left out of their page. After a page that cannot be processed for another reason,
 * whose records would be lost otherwise, it starts anew as well. If the store does not return the latest records of all keys,
 * those that it returns are used, further ones as they are written again, and all keys are read again from time to time.
 */
final class FeedPoller {
    /** The delay after a failed read; during an outage of the store each feed is retried a few times a second. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(300);

    /**
     * How long after a partial read of the latest records all keys are read again. What hides the others stays until its writer
     * removes it, and the records of running servers are written again within seconds.
     */
    private static final Duration PARTIAL_READ_DELAY = Duration.ofSeconds(10);

    private final PlatformStore store;
    private final Feed feed;
    private final Supplier<PollIntervals> intervals;
    private final Sink sink;
    private final GatewayClock clock;
    private final ScheduledExecutorService timer;
    private final EventLog log;
    private final OncePerKeyLog unusableRecords = new OncePerKeyLog(FeedPoller.class);
    private Optional<FeedPosition> nextPosition = Optional.empty();
    private OptionalLong era = OptionalLong.empty();
    private boolean failing;

    /** When all keys are read again, after a partial read. */
    private Optional<Moment> completionDue = Optional.empty();

    /**
     * The timing of the reads of a feed.
     *
     * @param longPoll the time that a read waits at the store for a new record
     * @param minInterval the minimum time between the starts of two reads
     */
    record PollIntervals(Duration longPoll, Duration minInterval) {}

    /** Receives what was read. */
    interface Sink {
        /** Receives a page; {@code snapshot} tells whether it contains all existing keys, else it contains changes. */
        void pageRead(FeedPage page, boolean snapshot, Moment requestedAt);

        /** Called when a read succeeds after reads have failed, before its page is received. */
        void storeRecovered();
    }

    FeedPoller(
            PlatformStore store,
            Feed feed,
            Supplier<PollIntervals> intervals,
            Sink sink,
            GatewayClock clock,
            ScheduledExecutorService timer,
            EventLog log) {
        this.store = store;
        this.feed = feed;
        this.intervals = intervals;
        this.sink = sink;
        this.clock = clock;
        this.timer = timer;
        this.log = log;
    }

    void start() {
        Moment requestedAt = clock.now();
        boolean snapshot = nextPosition.isEmpty()
                || completionDue.filter(at -> !requestedAt.isBefore(at)).isPresent();
        try {
            request(snapshot).whenComplete((page, failure) -> received(page, failure, snapshot, requestedAt));
        } catch (RuntimeException | Error e) {
            startAgainAfter(RETRY_DELAY);
            logFailure("could not send a read", e);
        }
    }

    private CompletableFuture<FeedPage> request(boolean snapshot) {
        return snapshot
                ? store.readLatest(feed)
                : store.read(
                        feed,
                        nextPosition.orElseThrow(),
                        failing ? Duration.ZERO : intervals.get().longPoll());
    }

    private void received(FeedPage page, Throwable failure, boolean snapshot, Moment requestedAt) {
        Duration delay = RETRY_DELAY;
        try {
            delay = failure == null ? pageReceived(page, snapshot, requestedAt) : readFailed(failure);
        } catch (RuntimeException | Error e) {
            nextPosition = Optional.empty();
            logFailure("could not process a page and will read all keys again", e);
        } finally {
            startAgainAfter(delay);
        }
    }

    private void startAgainAfter(Duration delay) {
        timer.schedule(this::start, delay.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void logFailure(String what, Throwable failure) {
        log.write("feed", what + ": " + failure, "feed", feed);
    }

    private Duration pageReceived(FeedPage page, boolean snapshot, Moment requestedAt) {
        if (failing) {
            failing = false;
            log.write("store", "reads succeed again", "feed", feed);
            sink.storeRecovered();
        }
        if (snapshot && page.partial()) {
            partialPageReceived(page, requestedAt);
            return Duration.ZERO;
        }
        boolean restored =
                !snapshot && page.next().era() != nextPosition.orElseThrow().era();
        if (page.expired() || restored) {
            nextPosition = Optional.empty();
            return Duration.ZERO;
        }
        if (snapshot) {
            completionDue = Optional.empty();
        }
        nextPosition = Optional.of(page.next());
        logEra(page.next());
        process(page, snapshot, requestedAt);
        Duration elapsed = Duration.ofNanos(clock.now().monotonicNanos() - requestedAt.monotonicNanos());
        Duration delay = intervals.get().minInterval();
        return elapsed.compareTo(delay) < 0 ? delay.minus(elapsed) : Duration.ZERO;
    }

    /** Uses the records as changes, unless more is known already from the position of the last read. */
    private void partialPageReceived(FeedPage page, Moment requestedAt) {
        completionDue = Optional.of(clock.now().plus(PARTIAL_READ_DELAY));
        if (nextPosition.isPresent()) {
            return;
        }
        log.write(
                "feed",
                "the store did not return all keys",
                "feed",
                feed,
                "records",
                page.records().size());
        nextPosition = Optional.of(page.next());
        logEra(page.next());
        process(page, false, requestedAt);
    }

    /**
     * Passes a page on. If it cannot be processed because of some of its records, these are left out: a page that fails is read
     * again, which would not end.
     */
    private void process(FeedPage page, boolean snapshot, Moment requestedAt) {
        try {
            sink.pageRead(page, snapshot, requestedAt);
        } catch (RuntimeException e) {
            List<FeedRecord> usable = processOneByOne(page, requestedAt);
            if (usable.size() == page.records().size()) {
                throw e;
            }
            if (snapshot) {
                sink.pageRead(new FeedPage(usable, page.next(), false), true, requestedAt);
            }
        }
    }

    /** Passes on each record of a page as a change, and returns those that could be processed. */
    private List<FeedRecord> processOneByOne(FeedPage page, Moment requestedAt) {
        List<FeedRecord> usable = new ArrayList<>();
        for (FeedRecord r : page.records()) {
            try {
                sink.pageRead(new FeedPage(List.of(r), page.next(), false), false, requestedAt);
                usable.add(r);
            } catch (RuntimeException e) {
                unusableRecords.warn(r.key(), "leaving out the record \"" + r.key() + "\" of " + feed + ": " + e);
            }
        }
        return usable;
    }

    private void logEra(FeedPosition next) {
        if (era.isPresent() && era.getAsLong() != next.era()) {
            log.write(
                    "era",
                    "the store was restored from an older copy",
                    "feed",
                    feed,
                    "before",
                    era.getAsLong(),
                    "era",
                    next.era(),
                    "next",
                    next.offset());
        }
        era = OptionalLong.of(next.era());
    }

    private Duration readFailed(Throwable failure) {
        if (!failing) {
            failing = true;
            log.write("store", "read failed: " + failure.getMessage(), "feed", feed);
        }
        return RETRY_DELAY;
    }
}
