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
 * The leases on fabric domains as one entry sees them. The holder counts from before it sent its claim or renewal, the
 * others from when they read it plus a drift allowance, so the holder always stops first without a shared clock.
 */
final class LeaseTable {
    private final Incarnation self;
    private final GroupTimings timings;
    private final Map<FabricDomain, Seen> seen = new HashMap<>();
    private final Map<FabricDomain, Instant> claimSentAt = new HashMap<>();
    private final TreeMap<LogOffset, Instant> renewalsSentAt = new TreeMap<>();

    LeaseTable(Incarnation self, GroupTimings timings) {
        this.self = self;
        this.timings = timings;
    }

    private record Seen(LogOffset epoch, LogOffset renewedAt, Instant claimReadAt, Instant readAt) {}

    /** Notes the claim on a domain as it stands in the replayed state. */
    void observe(Instant now, KeeperClaim claim) {
        Seen old = seen.get(claim.domain());
        if (old != null && old.epoch().equals(claim.epoch()) && old.renewedAt().equals(claim.renewedAt())) {
            return;
        }
        Instant claimReadAt = old != null && old.epoch().equals(claim.epoch()) ? old.claimReadAt() : now;
        seen.put(claim.domain(), new Seen(claim.epoch(), claim.renewedAt(), claimReadAt, now));
    }

    /** Notes that a claim or renewal of this entry took effect; its lease counts from when it was sent. */
    void accepted(KeeperAction.Append append, LogOffset offset) {
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

    /** Returns until when this entry may act for a domain, or empty if it does not keep it. */
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
        return seen.get(domain).claimReadAt();
    }

    /** Returns since when a domain has no keeper that may act, or empty if it may have one. */
    Optional<Instant> vacantSince(Instant now, KeeperClaim claim) {
        Instant free = seen.get(claim.domain()).readAt().plus(timings.lease()).plus(timings.driftAllowance());
        return free.isAfter(now) ? Optional.empty() : Optional.of(free);
    }
}
