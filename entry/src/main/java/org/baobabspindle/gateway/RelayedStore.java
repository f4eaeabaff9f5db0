package org.baobabspindle.gateway;

import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.port.Feed;
import org.baobabspindle.port.FeedPage;
import org.baobabspindle.port.FeedPosition;
import org.baobabspindle.port.FleetDecoder;
import org.baobabspindle.port.LeaseGrant;
import org.baobabspindle.port.PlatformStore;
import org.baobabspindle.port.StoreException;

/**
 * A store for entries of a large fleet: only some entries (readers) read the feeds from the platform's store, and the
 * others read them from other entries. Otherwise the reads would grow with the number of entries. What an entry has read
 * is proven to be complete as of a moment, wherever it was read; once this proof is too old, the entry reads the store
 * itself.
 */
final class RelayedStore implements PlatformStore {
    /** The minimum delay after a failed fallback; the store would receive the retries of all entries during an outage. */
    private static final Duration FALLBACK_RETRY_DELAY = Duration.ofMillis(400);

    private static final int FALLBACK_RETRY_JITTER_MILLIS = 400;

    private final PlatformStore store;
    private final Roles roles;
    private final Sources sources;
    private final GatewayClock clock;
    private final RandomGenerator random;
    private final BiConsumer<StorePurpose, Optional<Feed>> calls;
    private final Map<Feed, Relay> relays = new EnumMap<>(Feed.class);

    /** Selects what this entry passes on of the list that it reads from the store. Guarded by the lock of the store. */
    private final ChangedServerRecords changedServers;

    /** What this entry has read of a feed. Guarded by the lock of the store. */
    private static final class Relay {
        private final RecentPages recent;
        private Optional<Moment> provenAt = Optional.empty();

        /** A random number that spreads the fallbacks of entries; drawn anew for each of them. */
        private double spread;

        private Optional<Moment> retryAt = Optional.empty();

        Relay(Feed feed, double spread) {
            this.recent = new RecentPages(FleetScaling.maxServedAge(feed));
            this.spread = spread;
        }
    }

    /** Tells how this entry reads. */
    interface Roles {
        /** Returns where this entry reads a feed now. */
        ReadLevel level(Feed feed);

        /**
         * Returns the age of the proof of a feed at which this entry reads the store itself.
         *
         * @param spread a random number from 0 to 1
         */
        Duration fallbackAge(Feed feed, double spread);
    }

    /** Reads feeds from other entries. */
    interface Sources {
        /**
         * Returns the records that follow a position; empty if no entry could serve them. The future never fails.
         */
        CompletableFuture<Optional<RelayedPage>> read(Feed feed, FeedPosition from, ReadLevel level);
    }

    /**
     * Creates a store on top of the platform's store.
     *
     * @param store the platform's store
     * @param roles tells how this entry reads
     * @param sources the client for reads from other entries
     * @param clock the clock
     * @param random spreads the fallbacks of entries
     * @param calls receives the purpose of each call to the platform's store, and the feed if it reads one
     * @param decoder decodes the records of backend servers, of which only changes are passed on
     */
    RelayedStore(
            PlatformStore store,
            Roles roles,
            Sources sources,
            GatewayClock clock,
            RandomGenerator random,
            BiConsumer<StorePurpose, Optional<Feed>> calls,
            FleetDecoder decoder) {
        this.changedServers = new ChangedServerRecords(decoder);
        this.store = store;
        this.roles = roles;
        this.sources = sources;
        this.clock = clock;
        this.random = random;
        this.calls = calls;
        for (Feed f : Feed.values()) {
            relays.put(f, new Relay(f, random.nextDouble()));
        }
    }

    @Override
    public CompletableFuture<FeedPage> read(Feed feed, FeedPosition from, Duration wait) {
        ReadLevel level = roles.level(feed);
        if (level == ReadLevel.STORE) {
            return readStore(feed, from, wait, StorePurpose.READ);
        }
        if (isFallbackDue(feed, clock.now())) {
            return fallBack(feed, from);
        }
        return sources.read(feed, from, level).thenCompose(answer -> {
            if (answer.isPresent()) {
                record(feed, from, answer.get());
                return CompletableFuture.completedFuture(answer.get().page());
            }
            return isFallbackDue(feed, clock.now()) ? fallBack(feed, from) : withoutSource(feed, from);
        });
    }

    private synchronized boolean isFallbackDue(Feed feed, Moment now) {
        Relay r = relays.get(feed);
        if (r.retryAt.isPresent()) {
            return !now.isBefore(r.retryAt.get());
        }
        Duration limit = roles.fallbackAge(feed, r.spread);
        return r.provenAt.filter(at -> now.since(at).compareTo(limit) < 0).isEmpty();
    }

    /** Reads the store at once, without waiting for records, so that the read renews the proof. */
    private CompletableFuture<FeedPage> fallBack(Feed feed, FeedPosition from) {
        synchronized (this) {
            relays.get(feed).spread = random.nextDouble();
        }
        return readStore(feed, from, Duration.ZERO, StorePurpose.FALLBACK).whenComplete((page, failure) -> {
            if (failure != null) {
                delayFallback(feed);
            }
        });
    }

    private synchronized void delayFallback(Feed feed) {
        Duration delay = FALLBACK_RETRY_DELAY.plusMillis(random.nextInt(FALLBACK_RETRY_JITTER_MILLIS));
        relays.get(feed).retryAt = Optional.of(clock.now().plus(delay));
    }

    /** Returns no records until the proof is too old; a failure if the store did not answer the last fallback either. */
    private synchronized CompletableFuture<FeedPage> withoutSource(Feed feed, FeedPosition from) {
        return relays.get(feed).retryAt.isPresent()
                ? CompletableFuture.failedFuture(new StoreException("neither the store nor an entry serves " + feed))
                : CompletableFuture.completedFuture(new FeedPage(List.of(), from, false));
    }

    private CompletableFuture<FeedPage> readStore(Feed feed, FeedPosition from, Duration wait, StorePurpose purpose) {
        Moment requestedAt = clock.now();
        calls.accept(purpose, Optional.of(feed));
        return store.read(feed, from, wait).thenApply(page -> {
            synchronized (this) {
                record(feed, from, new RelayedPage(toRelay(feed, page), Optional.of(requestedAt)));
            }
            return page;
        });
    }

    private FeedPage toRelay(Feed feed, FeedPage page) {
        return feed == Feed.BACKEND_SERVERS
                ? new FeedPage(changedServers.select(page.records()), page.next(), page.expired())
                : page;
    }

    private synchronized void record(Feed feed, FeedPosition from, RelayedPage read) {
        Relay r = relays.get(feed);
        r.recent.add(from, read);
        r.retryAt = Optional.empty();
        proven(r, read.provenAt());
    }

    private static void proven(Relay r, Optional<Moment> at) {
        if (at.isPresent() && r.provenAt.filter(p -> !p.isBefore(at.get())).isEmpty()) {
            r.provenAt = at;
        }
    }

    /** Returns a moment at which this entry had read all records of a feed; empty if it has not read the feed yet. */
    synchronized Optional<Moment> provenAt(Feed feed) {
        return relays.get(feed).provenAt;
    }

    /**
     * Returns the records that this entry can serve to others from a position on; empty if its proof is too old or the
     * position is not available.
     */
    synchronized Optional<RelayedPage> serve(Feed feed, FeedPosition from, Moment now) {
        return relays.get(feed).recent.after(from, now);
    }

    @Override
    public CompletableFuture<FeedPage> readLatest(Feed feed) {
        Moment requestedAt = clock.now();
        calls.accept(StorePurpose.SNAPSHOT, Optional.of(feed));
        return store.readLatest(feed).thenApply(page -> {
            synchronized (this) {
                if (!page.partial()) {
                    proven(relays.get(feed), Optional.of(requestedAt));
                }
                toRelay(feed, page);
            }
            return page;
        });
    }

    @Override
    public CompletableFuture<Void> announce(String key, byte[] value) {
        calls.accept(StorePurpose.ANNOUNCEMENT, Optional.empty());
        return store.announce(key, value);
    }

    @Override
    public CompletableFuture<LeaseGrant> renewLease(String member, Duration timeToLive, long generation) {
        calls.accept(StorePurpose.LEASE_RENEWAL, Optional.empty());
        return store.renewLease(member, timeToLive, generation);
    }

    @Override
    public CompletableFuture<Void> releaseLease(String member) {
        calls.accept(StorePurpose.LEASE_RELEASE, Optional.empty());
        return store.releaseLease(member);
    }

    @Override
    public CompletableFuture<Long> nextTerm(String member) {
        calls.accept(StorePurpose.TERM, Optional.empty());
        return store.nextTerm(member);
    }
}
