package org.baobabspindle.gateway;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.logging.EventLog;
import org.baobabspindle.port.LeaseGrant;
import org.baobabspindle.port.PlatformStore;

/**
 * The lease of this entry on partitions of the fabric domains; an entry that holds one is a keeper. The time to live is
 * counted from before the call that renewed the lease. A newly acquired partition is not used until the effects of its
 * former holder's orders are listed and this entry has obtained a term greater than that holder's, from which it
 * derives the epochs of new groups. A store that was restored from an older copy may grant a partition whose last grant
 * it has lost; such a grant is not used while that lease may last.
 */
final class KeeperLease {
    /** Subtracted from the time to live, to allow for orders in transit and for clock drift. */
    private static final Duration EXPIRY_MARGIN = Duration.ofMillis(250);

    /**
     * How long a newly acquired partition is not used. Engines report the effect of an order at once and the server
     * list is read several times a second, so the list shows what the former holder ordered by then.
     */
    private static final Duration HANDOVER_DELAY = Duration.ofMillis(400);

    /**
     * How long after a partition was acquired the list must have been read for it to show what the former holder ordered;
     * engines report the effect of an order within this time.
     */
    private static final Duration EFFECT_DELAY = Duration.ofMillis(200);

    private final PlatformStore store;
    private final String member;
    private final Duration timeToLive;
    private final GatewayClock clock;
    private final EventLog log;
    private Set<Integer> partitions = Set.of();
    private Optional<Moment> renewedAt = Optional.empty();
    private Optional<Long> term = Optional.empty();
    private Moment usableFrom;
    private long generation;
    private OptionalLong era = OptionalLong.empty();

    /** The calls to the store that are pending; it may receive concurrent ones in any order. */
    private int pendingCalls;

    /** How often partitions were acquired so far; a term that was requested before the last time is ignored. */
    private int acquisitionCount;

    /** The number of releases so far; a grant that was requested before a release is ignored. */
    private int releaseCount;

    KeeperLease(PlatformStore store, String member, Duration timeToLive, GatewayClock clock, EventLog log) {
        this.store = store;
        this.member = member;
        this.timeToLive = timeToLive;
        this.clock = clock;
        this.log = log;
        this.usableFrom = clock.now();
    }

    /** Acquires or renews the lease, unless a call to the store is pending. */
    void renew() {
        Moment requestedAt = clock.now();
        long knownGeneration;
        int requestReleaseCount;
        synchronized (this) {
            if (pendingCalls > 0) {
                return;
            }
            pendingCalls++;
            knownGeneration = generation;
            requestReleaseCount = releaseCount;
        }
        store.renewLease(member, timeToLive, knownGeneration).whenComplete((grant, failure) -> {
            boolean releasedMeanwhile;
            synchronized (this) {
                releasedMeanwhile = requestReleaseCount != releaseCount;
                pendingCalls -= releasedMeanwhile ? 0 : 1;
            }
            if (releasedMeanwhile) {
                // The store may have received the release first, and hold the partitions for this entry.
                releaseAtStore();
            } else if (failure == null) {
                grantReceived(grant, requestedAt, requestReleaseCount);
            }
        });
    }

    private void grantReceived(LeaseGrant grant, Moment requestedAt, int requestReleaseCount) {
        boolean termNeeded;
        int requestAcquisitionCount;
        synchronized (this) {
            if (requestReleaseCount != releaseCount) {
                return;
            }
            boolean restored = era.isPresent() && era.getAsLong() != grant.era();
            boolean continued = isValid(clock.now()) && !restored;
            Set<Integer> added = new HashSet<>(grant.partitions());
            if (continued) {
                added.removeAll(partitions);
            }
            era = OptionalLong.of(grant.era());
            generation = grant.generation();
            renewedAt = Optional.of(requestedAt);
            termNeeded = !added.isEmpty();
            if (!grant.partitions().equals(partitions)) {
                log.write("lease", "partitions changed", "partitions", grant.partitions(), "generation", generation);
            }
            partitions = grant.partitions();
            if (termNeeded) {
                acquisitionCount++;
                term = Optional.empty();
                Moment earliest = clock.now().plus(restored ? timeToLive : HANDOVER_DELAY);
                usableFrom = usableFrom.isBefore(earliest) ? earliest : usableFrom;
            }
            termNeeded = term.isEmpty() && !partitions.isEmpty();
            requestAcquisitionCount = acquisitionCount;
        }
        if (termNeeded) {
            store.nextTerm(member).whenComplete((t, failure) -> termReceived(t, failure, requestAcquisitionCount));
        }
    }

    private synchronized void termReceived(Long newTerm, Throwable failure, int requestAcquisitionCount) {
        if (requestAcquisitionCount != acquisitionCount) {
            return;
        }
        if (failure == null) {
            term = Optional.of(newTerm);
            log.write("lease", "new term obtained", "term", newTerm);
        } else {
            log.write("lease", "could not obtain a term: " + failure.getMessage());
        }
    }

    private boolean isValid(Moment now) {
        Duration usableTime = timeToLive.minus(EXPIRY_MARGIN);
        return renewedAt.filter(r -> now.since(r).compareTo(usableTime) < 0).isPresent();
    }

    /** Returns whether this entry may send orders for a partition now. */
    synchronized boolean holdsPartition(int partition, Moment now) {
        return isValid(now) && partitions.contains(partition) && term.isPresent() && !now.isBefore(usableFrom);
    }

    /** Returns the term under which this entry may send orders now; empty if it may not. */
    synchronized Optional<Long> term(Moment now) {
        return isValid(now) && !now.isBefore(usableFrom) ? term : Optional.empty();
    }

    /**
     * Returns the time as of which an entry must have read the list of backend servers before it sends orders, if it reads
     * the list from other entries.
     */
    synchronized Moment minListTime() {
        return usableFrom.minus(HANDOVER_DELAY.minus(EFFECT_DELAY));
    }

    /** Returns whether the last renewal of the lease granted any partition, whether or not the lease is still valid. */
    synchronized boolean holdsAnyPartition() {
        return !partitions.isEmpty();
    }

    /** Releases all partitions; a later {@link #renew()} acquires partitions again. */
    void release() {
        synchronized (this) {
            partitions = Set.of();
            term = Optional.empty();
            releaseCount++;
            pendingCalls++;
        }
        releaseAtStore();
    }

    /** Sends a release, which already counts as a pending call. */
    private void releaseAtStore() {
        store.releaseLease(member).whenComplete((done, failure) -> {
            synchronized (this) {
                pendingCalls--;
            }
            log.write(
                    "lease",
                    failure == null ? "lease released" : "could not release the lease: " + failure.getMessage());
        });
    }
}
