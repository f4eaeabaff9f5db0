package org.baobabspindle.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.port.Feed;
import org.baobabspindle.port.FeedPage;
import org.baobabspindle.port.LeaseGrant;
import org.baobabspindle.port.PlatformStore;

/**
 * The store as an entry of a large fleet uses it: only some entries follow the list of backend servers there, and the others
 * read on from these. Answers a fleet whose reads of one list would grow with its entries. An entry that finds no other one
 * with a list as recent reads the store itself.
 */
final class RelayedStore implements PlatformStore {
    private final PlatformStore store;
    private final BooleanSupplier readsFromFollowers;
    private final FollowerClient followers;
    private final RecentPages recent;
    private final GatewayClock clock;

    /** Reads the list of backend servers from another entry. */
    interface FollowerClient {
        /** Returns what follows a position; empty if no entry could tell. Never fails. */
        CompletableFuture<Optional<FeedPage>> read(long from);
    }

    /**
     * Creates a store.
     *
     * @param store the platform's store
     * @param relayed whether this entry reads the list from others
     * @param relay the others
     * @param recent what this entry has read, for others
     * @param clock the clock
     */
    RelayedStore(PlatformStore store, BooleanSupplier relayed, FollowerClient relay, RecentPages recent, GatewayClock clock) {
        this.store = store;
        this.readsFromFollowers = relayed;
        this.followers = relay;
        this.recent = recent;
        this.clock = clock;
    }

    @Override
    public CompletableFuture<FeedPage> read(Feed feed, long from, Duration wait) {
        if (feed != Feed.BACKEND_SERVERS) {
            return store.read(feed, from, wait);
        }
        if (!readsFromFollowers.getAsBoolean()) {
            return readStore(from, wait);
        }
        return followers.read(from).thenCompose(page -> page.map(CompletableFuture::completedFuture)
                .orElseGet(() -> readStore(from, wait)));
    }

    private CompletableFuture<FeedPage> readStore(long from, Duration wait) {
        Moment askedAt = clock.now();
        return store.read(Feed.BACKEND_SERVERS, from, wait).thenApply(page -> {
            recent.add(from, page, askedAt);
            return page;
        });
    }

    @Override
    public CompletableFuture<FeedPage> readLatest(Feed feed) {
        return store.readLatest(feed);
    }

    @Override
    public CompletableFuture<Void> announce(String key, byte[] value) {
        return store.announce(key, value);
    }

    @Override
    public CompletableFuture<LeaseGrant> renewLease(String member, Duration timeToLive, long generation) {
        return store.renewLease(member, timeToLive, generation);
    }

    @Override
    public CompletableFuture<Void> releaseLease(String member) {
        return store.releaseLease(member);
    }

    @Override
    public CompletableFuture<Long> nextTerm(String member) {
        return store.nextTerm(member);
    }
}
