package org.baobabspindle.core.group;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.baobabspindle.core.id.FabricDomain;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.LogOffset;
import org.baobabspindle.core.log.KeeperClaim;
import org.baobabspindle.core.log.KeeperClaimed;
import org.baobabspindle.core.log.LogRecord;

/**
 * The leases on fabric domains as one entry sees them. For the holder, a lease runs from before it sent its claim or
 * renewal. For the other entries, it runs from when they read that record and lasts longer by a drift allowance.
 * Therefore the holder stops first without a shared clock.
 */
final class LeaseTable {
    private final Incarnation self;
    private final GroupTimings timings;
    private final Map<FabricDomain, Observation> observations = new HashMap<>();
    private final Map<FabricDomain, Instant> claimSentAt = new HashMap<>();
    private final TreeMap<LogOffset, Instant> renewalsSentAt = new TreeMap<>();

    LeaseTable(Incarnation self, GroupTimings timings) {
        this.self = self;
        this.timings = timings;
    }

    private record Observation(LogOffset epoch, LogOffset renewedAt, Instant claimReadAt, Instant readAt) {}

    /** Records the claim on a domain as found in the replayed state, and when it was first read. */
    void observe(Instant now, KeeperClaim claim) {
        Observation previous = observations.get(claim.domain());
        if (previous != null
                && previous.epoch().equals(claim.epoch())
                && previous.renewedAt().equals(claim.renewedAt())) {
            return;
        }
        Instant claimReadAt = previous != null && previous.epoch().equals(claim.epoch()) ? previous.claimReadAt() : now;
        observations.put(claim.domain(), new Observation(claim.epoch(), claim.renewedAt(), claimReadAt, now));
    }

    /** Records that a claim or renewal of this entry took effect. Its lease runs from when the record was sent. */
    void recordAccepted(KeeperAction.Append append, LogOffset offset) {
        LogRecord record = append.record();
        if (record instanceof KeeperClaimed) {
            claimSentAt.put(append.domain(), append.sentAt());
            return;
        }
        renewalsSentAt.put(offset, append.sentAt());
        while (renewalsSentAt.size() > 2) {
            renewalsSentAt.pollFirstEntry();
        }
    }

    /** Returns until when this entry may act for a domain, or empty if it is not the keeper of the domain. */
    Optional<Instant> heldUntil(KeeperClaim claim) {
        if (!claim.holder().equals(self)) {
            return Optional.empty();
        }
        Instant sentAt = renewalsSentAt.get(claim.renewedAt());
        if (sentAt == null) {
            sentAt = claim.renewedAt().equals(claim.epoch()) ? claimSentAt.get(claim.domain()) : null;
        }
        return Optional.ofNullable(sentAt).map(s -> s.plus(timings.lease()));
    }

    /** Returns when this entry read the claim in force on a domain. */
    Instant claimReadAt(FabricDomain domain) {
        return observations.get(domain).claimReadAt();
    }

    /** Returns since when a domain certainly has no keeper that may act, or empty if it may have one. */
    Optional<Instant> vacantSince(Instant now, KeeperClaim claim) {
        Instant expiry =
                observations.get(claim.domain()).readAt().plus(timings.lease()).plus(timings.driftAllowance());
        return expiry.isAfter(now) ? Optional.empty() : Optional.of(expiry);
    }
}
