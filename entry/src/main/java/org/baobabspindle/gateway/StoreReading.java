package org.baobabspindle.gateway;

import java.time.Duration;
import java.util.Optional;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.port.Feed;

/**
 * Decides how an entry reads the feeds of the store: itself, from readers, or from keepers, and at which intervals. In a
 * small fleet, every entry reads the store itself.
 */
final class StoreReading implements RelayedStore.Roles {
    private final GatewayClock clock;
    private final ReaderRole role = new ReaderRole();
    private State state;

    /** What the decision depends on. */
    interface State {
        /** Returns the number of known entries. */
        int entryCount();

        /** Returns the number of candidates for readers that precede this entry. */
        int rank(Moment now);

        /** Returns whether the configuration and the list of backend servers are known. */
        boolean isComplete();

        /** Returns whether this entry holds partitions of the lease. */
        boolean isKeeper();

        /** Returns the time as of which a keeper must have read the list of backend servers. */
        Moment minListTime();

        /** Returns a moment at which this entry had read all records of a feed. */
        Optional<Moment> provenAt(Feed feed);
    }

    StoreReading(GatewayClock clock) {
        this.clock = clock;
    }

    /** Sets what the decision depends on, before the first decision. */
    void attach(State newState) {
        state = newState;
    }

    /** Returns the state of an entry. */
    static State stateOf(PeerMesh mesh, FleetTable fleet, KeeperLease lease, RelayedStore store) {
        return new State() {
            @Override
            public int entryCount() {
                return mesh.entryCount();
            }

            @Override
            public int rank(Moment now) {
                return mesh.rankAmongReaders(now);
            }

            @Override
            public boolean isComplete() {
                return fleet.isComplete();
            }

            @Override
            public boolean isKeeper() {
                return lease.holdsAnyPartition();
            }

            @Override
            public Moment minListTime() {
                return lease.minListTime();
            }

            @Override
            public Optional<Moment> provenAt(Feed feed) {
                return store.provenAt(feed);
            }
        };
    }

    @Override
    public ReadLevel level(Feed feed) {
        return feed == Feed.BACKEND_SERVERS && isHandoverPending() ? ReadLevel.STORE : level();
    }

    private ReadLevel level() {
        if (!isLargeFleet() || !state.isComplete() || (isReader() && !isCutFromStore())) {
            return ReadLevel.STORE;
        }
        return state.isKeeper() ? ReadLevel.READERS : ReadLevel.FOLLOWERS;
    }

    private boolean isLargeFleet() {
        return FleetScaling.readsFromFollowers(state.entryCount());
    }

    /** Returns whether this entry is one of the readers of a large fleet. */
    private boolean isReader() {
        if (!isLargeFleet()) {
            return false;
        }
        Moment now = clock.now();
        int rank = state.rank(now);
        synchronized (role) {
            return role.isReader(rank, state.entryCount(), now);
        }
    }

    /** Returns whether this entry has read nothing for a while; as a reader it also asks other entries then. */
    private boolean isCutFromStore() {
        return storeAge(clock.now()) > FeedSource.MAX_STORE_AGE.toMillis();
    }

    @Override
    public Duration fallbackAge(Feed feed, double spread) {
        return FleetScaling.fallbackAge(feed, level(), spread);
    }

    /**
     * Returns whether this entry has acquired partitions, and has read the list of backend servers from another entry that
     * had not read it since. It then reads the store, as the list must show what the former holder ordered.
     */
    boolean isHandoverPending() {
        return state.isKeeper()
                && level() != ReadLevel.STORE
                && state.provenAt(Feed.BACKEND_SERVERS)
                        .filter(at -> !at.isBefore(state.minListTime()))
                        .isEmpty();
    }

    /** Returns the intervals of reads; a long poll would not tell in time that the list has not changed. */
    FeedPoller.PollIntervals intervals(Feed feed) {
        FeedPoller.PollIntervals intervals = FleetScaling.intervals(feed, state.entryCount(), level());
        return feed == Feed.BACKEND_SERVERS && isHandoverPending()
                ? new FeedPoller.PollIntervals(Duration.ZERO, intervals.minInterval())
                : intervals;
    }

    /** Returns whether other entries may read feeds from this one; an entry that is not complete serves nothing yet. */
    boolean isFollower() {
        return !state.isComplete() || state.isKeeper() || isReader();
    }

    /**
     * Returns what the state of this entry tells about its reads of the store: their age in milliseconds if it is a reader,
     * else -1; empty in a small fleet.
     */
    Optional<Long> storeAgeMillis() {
        if (!isLargeFleet()) {
            return Optional.empty();
        }
        if (!isReader()) {
            return Optional.of(-1L);
        }
        return Optional.of(storeAge(clock.now()));
    }

    private long storeAge(Moment now) {
        return Math.max(proofAge(Feed.CONFIGURATION, now), proofAge(Feed.BACKEND_SERVERS, now));
    }

    private long proofAge(Feed feed, Moment now) {
        return state.provenAt(feed).map(at -> now.since(at).toMillis()).orElse(Long.MAX_VALUE);
    }
}
