package org.baobabspindle.core.freshness;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.LogOffset;
import org.baobabspindle.core.id.Region;
import org.baobabspindle.core.log.Membership.RegionMembers;
import org.baobabspindle.core.log.ReplayedState;

/**
 * Decides whether the configuration of an entry is fresh, from reads of the end of the log and from the answers of
 * other entries of its region. The age of an answer counts from when its request was sent, so a late answer proves
 * nothing about the present. Not thread-safe.
 */
public final class Freshness {
    private static final int MAX_PENDING_HEADS = 64;

    private final Incarnation self;
    private final Region region;
    private final Duration bound;
    private final ArrayDeque<HeadRead> pending = new ArrayDeque<>();
    private final Map<Incarnation, PeerAnswer> answers = new HashMap<>();
    private Optional<Instant> caughtUpAsOf = Optional.empty();

    /**
     * Creates the freshness check of an entry without any answers.
     *
     * @param self the entry
     * @param region the region of the entry
     * @param bound the freshness bound: how long an answer counts, from when its request was sent
     */
    public Freshness(Incarnation self, Region region, Duration bound) {
        this.self = self;
        this.region = region;
        this.bound = bound;
    }

    private record HeadRead(Instant askedAt, LogOffset head) {}

    private record PeerAnswer(Instant askedAt, VersionVector vector) {}

    /**
     * Records a read of the end of the log.
     *
     * @param askedAt when the read was sent
     * @param head the offset after the last record of the log
     */
    public void logHeadRead(Instant askedAt, LogOffset head) {
        pending.addLast(new HeadRead(askedAt, head));
        if (pending.size() > MAX_PENDING_HEADS) {
            pending.removeFirst();
        }
    }

    /**
     * Records an answer of another entry.
     *
     * @param peer the entry that answered
     * @param askedAt when the request was sent
     * @param vector the versions that the entry had replayed when it answered
     */
    public void peerAnswered(Incarnation peer, Instant askedAt, VersionVector vector) {
        answers.merge(
                peer, new PeerAnswer(askedAt, vector), (a, b) -> b.askedAt().isBefore(a.askedAt()) ? a : b);
    }

    /**
     * Decides whether the entry may accept new requests.
     *
     * @param now the present time
     * @param state the replayed state of the entry
     * @return the decision and its reason
     */
    public FreshnessOutcome check(Instant now, ReplayedState state) {
        updateCaughtUp(state.nextOffset());
        if (caughtUpAsOf.isPresent() && isRecent(now, caughtUpAsOf.get())) {
            return FreshnessOutcome.FRESH_BY_LOG;
        }
        return checkPeers(now, state);
    }

    /**
     * Returns whether the entry has replayed the log up to an end offset that was read within the freshness bound.
     *
     * @param now the present time
     * @param state the replayed state of the entry
     * @return whether the log can be read
     */
    public boolean isLogReadable(Instant now, ReplayedState state) {
        updateCaughtUp(state.nextOffset());
        return caughtUpAsOf.isPresent() && isRecent(now, caughtUpAsOf.get());
    }

    private FreshnessOutcome checkPeers(Instant now, ReplayedState state) {
        RegionMembers members = state.membership().of(region);
        VersionVector own = VersionVector.of(state, region);
        Set<Incarnation> heard = new HashSet<>(Set.of(self));
        answers.values().removeIf(a -> !isRecent(now, a.askedAt()));
        for (Map.Entry<Incarnation, PeerAnswer> e : answers.entrySet()) {
            if (e.getValue().vector().isAheadOf(own)) {
                return FreshnessOutcome.BEHIND;
            }
            heard.add(e.getKey());
        }
        boolean known = !members.entries().isEmpty();
        return known && members.isMajority(heard) ? FreshnessOutcome.FRESH_BY_PEERS : FreshnessOutcome.UNHEARD;
    }

    private boolean isRecent(Instant now, Instant askedAt) {
        return !askedAt.plus(bound).isBefore(now);
    }

    private void updateCaughtUp(LogOffset replayedTo) {
        while (!pending.isEmpty() && pending.peekFirst().head().compareTo(replayedTo) <= 0) {
            Instant askedAt = pending.removeFirst().askedAt();
            if (caughtUpAsOf.isEmpty() || caughtUpAsOf.get().isBefore(askedAt)) {
                caughtUpAsOf = Optional.of(askedAt);
            }
        }
    }
}
