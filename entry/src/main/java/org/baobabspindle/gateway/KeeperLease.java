package org.baobabspindle.gateway;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.logging.EventLog;
import org.baobabspindle.port.LeaseGrant;
import org.baobabspindle.port.PlatformStore;

/**
 * The partitions of the keepers' work that this entry holds. Its age is counted from before the call that renewed it. A
 * partition that was gained is held back until what its last holder ordered has been reported, and until a term greater
 * than that holder's was drawn.
 */
final class KeeperLease {
    /** Taken off the time to live, for an order that is on its way and clocks that drift. */
    private static final Duration EXPIRY_MARGIN = Duration.ofMillis(250);

    /** What the last holder ordered is listed by then: a report comes at once and is read a few times a second. */
    private static final Duration HANDOVER_DELAY = Duration.ofMillis(400);

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
    private boolean renewing;

    /** Counts how often partitions were given up; a grant that was asked for before does not count any more. */
    private int releaseCount;

    KeeperLease(PlatformStore store, String member, Duration timeToLive, GatewayClock clock, EventLog log) {
        this.store = store;
        this.member = member;
        this.timeToLive = timeToLive;
        this.clock = clock;
        this.log = log;
        this.usableFrom = clock.now();
    }

    /** Joins the keepers or stays among them. */
    void renew() {
        Moment askedAt = clock.now();
        long known;
        int membership;
        synchronized (this) {
            if (renewing) {
                return;
            }
            renewing = true;
            known = generation;
            membership = releaseCount;
        }
        store.renewLease(member, timeToLive, known).whenComplete((grant, failure) -> {
            synchronized (this) {
                renewing = false;
            }
            if (failure == null) {
                grantReceived(grant, askedAt, membership);
            }
        });
    }

    private void grantReceived(LeaseGrant grant, Moment askedAt, int membership) {
        boolean gained;
        synchronized (this) {
            if (membership != releaseCount) {
                return;
            }
            boolean lapsed = !isValid(clock.now());
            Set<Integer> added = new HashSet<>(grant.partitions());
            if (!lapsed) {
                added.removeAll(partitions);
            }
            generation = grant.generation();
            renewedAt = Optional.of(askedAt);
            gained = !added.isEmpty();
            if (!grant.partitions().equals(partitions)) {
                log.write("lease", "partitions changed", "partitions", grant.partitions(), "generation", generation);
            }
            partitions = grant.partitions();
            if (gained) {
                term = Optional.empty();
                usableFrom = clock.now().plus(HANDOVER_DELAY);
            }
            gained = term.isEmpty() && !partitions.isEmpty();
        }
        if (gained) {
            store.nextTerm(member).whenComplete((t, failure) -> termDrawn(t, failure));
        }
    }

    private synchronized void termDrawn(Long drawn, Throwable failure) {
        if (failure == null) {
            term = Optional.of(drawn);
            log.write("lease", "a term was drawn", "term", drawn);
        } else {
            log.write("lease", "no term was drawn: " + failure.getMessage());
        }
    }

    private boolean isValid(Moment now) {
        Duration usable = timeToLive.minus(EXPIRY_MARGIN);
        return renewedAt.filter(r -> now.since(r).compareTo(usable) < 0).isPresent();
    }

    synchronized boolean holdsPartition(int partition, Moment now) {
        return isValid(now) && partitions.contains(partition) && term.isPresent() && !now.isBefore(usableFrom);
    }

    /** Returns the term under which this entry may order now. */
    synchronized Optional<Long> term(Moment now) {
        return isValid(now) && !now.isBefore(usableFrom) ? term : Optional.empty();
    }

    /** Returns whether this entry was granted any partition when it last renewed the lease. */
    synchronized boolean holdsAnyPartition() {
        return !partitions.isEmpty();
    }

    /** Gives all partitions up; a later renewal joins again. */
    void release() {
        synchronized (this) {
            partitions = Set.of();
            term = Optional.empty();
            releaseCount++;
            renewing = true;
        }
        store.releaseLease(member).whenComplete((done, failure) -> {
            synchronized (this) {
                renewing = false;
            }
            log.write("lease", failure == null ? "given up" : "not given up: " + failure.getMessage());
        });
    }
}
