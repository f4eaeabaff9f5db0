package org.baobabspindle.gateway;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.logging.EventLog;
import org.baobabspindle.port.Feed;
import org.baobabspindle.port.FeedPage;
import org.baobabspindle.port.PlatformStore;

/** Follows a feed of the store by long polls; each read begins where the last one ended. */
final class FeedPoller {
    /** The pause after a read that failed; a store that is away for seconds is asked a few times a second. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(300);

    private final PlatformStore store;
    private final Feed feed;
    private final Supplier<PollIntervals> intervals;
    private final Sink sink;
    private final GatewayClock clock;
    private final ScheduledExecutorService timer;
    private final EventLog log;
    private long next = -1;
    private boolean failing;

    /**
     * How often a feed is read.
     *
     * @param longPoll how long a read waits for a record
     * @param minInterval the least time between two reads
     */
    record PollIntervals(Duration longPoll, Duration minInterval) {}

    /** Takes what was read. */
    interface Sink {
        /** Takes a page; {@code whole} says that it names all keys there are. */
        void pageRead(FeedPage page, boolean whole, Moment askedAt);

        /** Hears that the store answers again after it did not. */
        void storeRecovered();
    }

    FeedPoller(
            PlatformStore store,
            Feed feed,
            Supplier<PollIntervals> pace,
            Sink sink,
            GatewayClock clock,
            ScheduledExecutorService timer,
            EventLog log) {
        this.store = store;
        this.feed = feed;
        this.intervals = pace;
        this.sink = sink;
        this.clock = clock;
        this.timer = timer;
        this.log = log;
    }

    void start() {
        Moment askedAt = clock.now();
        boolean whole = next < 0;
        CompletableFuture<FeedPage> read = whole
                ? store.readLatest(feed)
                : store.read(feed, next, intervals.get().longPoll());
        read.whenComplete((page, failure) -> {
            Duration pause = RETRY_DELAY;
            try {
                pause = failure == null ? pageReceived(page, whole, askedAt) : readFailed(failure);
            } catch (RuntimeException e) {
                log.write("feed", "a page could not be taken over: " + e, "feed", feed);
            } finally {
                timer.schedule(this::start, pause.toMillis(), TimeUnit.MILLISECONDS);
            }
        });
    }

    private Duration pageReceived(FeedPage page, boolean whole, Moment askedAt) {
        if (failing) {
            failing = false;
            log.write("store", "reads succeed again", "feed", feed);
            sink.storeRecovered();
        }
        if (page.expired()) {
            next = -1;
            return Duration.ZERO;
        }
        next = page.next();
        sink.pageRead(page, whole, askedAt);
        Duration taken = Duration.ofNanos(clock.now().monotonicNanos() - askedAt.monotonicNanos());
        Duration pause = intervals.get().minInterval();
        return taken.compareTo(pause) < 0 ? pause.minus(taken) : Duration.ZERO;
    }

    private Duration readFailed(Throwable failure) {
        if (!failing) {
            failing = true;
            log.write("store", "a read failed: " + failure.getMessage(), "feed", feed);
        }
        return RETRY_DELAY;
    }
}
