package org.baobabspindle.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.logging.EventLog;
import org.baobabspindle.port.Feed;
import org.baobabspindle.port.FeedPage;
import org.baobabspindle.port.FeedPosition;
import org.baobabspindle.port.FeedRecord;
import org.baobabspindle.port.LeaseGrant;
import org.baobabspindle.port.PlatformStore;
import org.baobabspindle.port.StoreException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(20)
class FeedPollerTests {
    private static final Duration LONG_POLL = Duration.ofSeconds(5);

    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final List<Duration> waits = new CopyOnWriteArrayList<>();
    private final FakeStore store = new FakeStore();

    @AfterEach
    void stop() {
        timer.shutdownNow();
    }

    /** Fails the second of its reads and answers the others. */
    private class FakeStore implements PlatformStore {
        @Override
        public CompletableFuture<FeedPage> readLatest(Feed feed) {
            return CompletableFuture.completedFuture(new FeedPage(List.of(), new FeedPosition(1, 3), false));
        }

        @Override
        public CompletableFuture<FeedPage> read(Feed feed, FeedPosition from, Duration wait) {
            waits.add(wait);
            return waits.size() == 2
                    ? CompletableFuture.failedFuture(new StoreException("connection was reset"))
                    : CompletableFuture.completedFuture(new FeedPage(List.of(), from, false));
        }

        @Override
        public CompletableFuture<Void> announce(String key, byte[] value) {
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public CompletableFuture<LeaseGrant> renewLease(String member, Duration timeToLive, long generation) {
            return CompletableFuture.failedFuture(new StoreException("not used"));
        }

        @Override
        public CompletableFuture<Void> releaseLease(String member) {
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public CompletableFuture<Long> nextTerm(String member) {
            return CompletableFuture.failedFuture(new StoreException("not used"));
        }
    }

    private static class IgnoringSink implements FeedPoller.Sink {
        @Override
        public void pageRead(FeedPage page, boolean snapshot, Moment requestedAt) {}

        @Override
        public void storeRecovered() {}
    }

    /** Its answer confirms what was read before and names the era of the store; a long poll would delay both. */
    @Test
    void firstReadAfterAFailureDoesNotWaitForRecords() throws Exception {
        new FeedPoller(
                        store,
                        Feed.CONFIGURATION,
                        () -> new FeedPoller.PollIntervals(LONG_POLL, Duration.ofMillis(10)),
                        new IgnoringSink(),
                        new GatewayClock(),
                        timer,
                        new EventLog())
                .start();
        GatewayTestSupport.await(() -> waits.size() >= 4);
        assertThat(List.copyOf(waits).subList(0, 4))
                .containsExactly(LONG_POLL, LONG_POLL, Duration.ZERO, LONG_POLL)
                .inOrder();
    }

    @Test
    void errorInAReadOrInItsPageDoesNotEndPolling() throws Exception {
        AtomicInteger pages = new AtomicInteger();
        FakeStore failing = new FakeStore() {
            @Override
            public CompletableFuture<FeedPage> read(Feed feed, FeedPosition from, Duration wait) {
                throw new OutOfMemoryError("simulated");
            }
        };
        FeedPoller.Sink sink = new FeedPoller.Sink() {
            @Override
            public void pageRead(FeedPage page, boolean snapshot, Moment requestedAt) {
                if (pages.incrementAndGet() == 1) {
                    throw new OutOfMemoryError("simulated");
                }
            }

            @Override
            public void storeRecovered() {}
        };
        AtomicInteger intervals = new AtomicInteger();
        new FeedPoller(
                        failing,
                        Feed.CONFIGURATION,
                        () -> {
                            intervals.incrementAndGet();
                            return new FeedPoller.PollIntervals(LONG_POLL, Duration.ofMillis(10));
                        },
                        sink,
                        new GatewayClock(),
                        timer,
                        new EventLog())
                .start();
        GatewayTestSupport.await(() -> intervals.get() >= 3);
        assertThat(pages.get()).isEqualTo(2);
    }

    /** The records of a page that could not be processed are not read again at a later position. */
    @Test
    void recordsAreNotLostWhenTheirPageCannotBeProcessed() throws Exception {
        List<Boolean> snapshots = new CopyOnWriteArrayList<>();
        FeedPoller.Sink sink = new FeedPoller.Sink() {
            @Override
            public void pageRead(FeedPage page, boolean snapshot, Moment requestedAt) {
                snapshots.add(snapshot);
                if (snapshots.size() == 2) {
                    throw new IllegalStateException("a record is invalid");
                }
            }

            @Override
            public void storeRecovered() {}
        };
        new FeedPoller(
                        store,
                        Feed.BACKEND_SERVERS,
                        () -> new FeedPoller.PollIntervals(LONG_POLL, Duration.ofMillis(10)),
                        sink,
                        new GatewayClock(),
                        timer,
                        new EventLog())
                .start();
        GatewayTestSupport.await(() -> snapshots.size() >= 4);
        assertThat(List.copyOf(snapshots).subList(0, 4))
                .containsExactly(true, false, true, false)
                .inOrder();
    }

    /** A list that is known to lack servers must not end the servers that it lacks; they are read again later. */
    @Test
    void partialPageIsUsedAsChangesUntilAllKeysAreRead() throws Exception {
        AtomicInteger snapshots = new AtomicInteger();
        FakeStore partial = new FakeStore() {
            @Override
            public CompletableFuture<FeedPage> readLatest(Feed feed) {
                FeedPosition next = new FeedPosition(1, 3);
                return CompletableFuture.completedFuture(
                        snapshots.incrementAndGet() < 3
                                ? FeedPage.ofPartial(List.of(), next)
                                : new FeedPage(List.of(), next, false));
            }
        };
        AtomicLong ahead = new AtomicLong();
        GatewayClock clock = new GatewayClock() {
            @Override
            Moment now() {
                return super.now().plus(Duration.ofMillis(ahead.get()));
            }
        };
        List<Boolean> pages = new CopyOnWriteArrayList<>();
        FeedPoller.Sink sink = new IgnoringSink() {
            @Override
            public void pageRead(FeedPage page, boolean snapshot, Moment requestedAt) {
                pages.add(snapshot);
            }
        };
        FeedPoller.PollIntervals intervals = new FeedPoller.PollIntervals(LONG_POLL, Duration.ofMillis(10));
        new FeedPoller(partial, Feed.BACKEND_SERVERS, () -> intervals, sink, clock, timer, new EventLog()).start();
        GatewayTestSupport.await(() -> waits.size() >= 6);
        assertThat(snapshots.get()).isEqualTo(1);
        assertThat(pages).doesNotContain(true);
        ahead.addAndGet(11_000);
        GatewayTestSupport.await(() -> snapshots.get() == 2);
        ahead.addAndGet(11_000);
        GatewayTestSupport.await(() -> pages.contains(true));
        int pagesBefore = pages.size();
        ahead.addAndGet(11_000);
        GatewayTestSupport.await(() -> pages.size() > pagesBefore + 2);
        assertThat(snapshots.get()).isEqualTo(3);
    }

    /** Its page would be read again for ever, and no record behind it ever applied. */
    @Test
    void recordThatCannotBeAppliedDoesNotHideTheOthers() throws Exception {
        List<FeedRecord> records = List.of(record("a"), record("invalid"), record("b"));
        AtomicInteger snapshots = new AtomicInteger();
        FakeStore filled = new FakeStore() {
            @Override
            public CompletableFuture<FeedPage> readLatest(Feed feed) {
                snapshots.incrementAndGet();
                return CompletableFuture.completedFuture(new FeedPage(records, new FeedPosition(1, 3), false));
            }
        };
        List<String> applied = new CopyOnWriteArrayList<>();
        FeedPoller.Sink sink = new IgnoringSink() {
            @Override
            public void pageRead(FeedPage page, boolean snapshot, Moment requestedAt) {
                for (FeedRecord r : page.records()) {
                    if (r.key().equals("invalid")) {
                        throw new IllegalStateException("a record is invalid");
                    }
                }
                page.records().forEach(r -> applied.add((snapshot ? "all " : "one ") + r.key()));
            }
        };
        FeedPoller.PollIntervals intervals = new FeedPoller.PollIntervals(LONG_POLL, Duration.ofMillis(10));
        new FeedPoller(filled, Feed.BACKEND_SERVERS, () -> intervals, sink, new GatewayClock(), timer, new EventLog())
                .start();
        GatewayTestSupport.await(() -> waits.size() >= 4);
        assertThat(applied).containsExactly("one a", "one b", "all a", "all b").inOrder();
        assertThat(snapshots.get()).isEqualTo(1);
    }

    private static FeedRecord record(String key) {
        return new FeedRecord(key, Optional.of(new byte[] {1}));
    }
}
