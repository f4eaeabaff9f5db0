package org.baobabspindle.node;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.baobabspindle.core.group.Rendezvous;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.log.EntryDescription;
import org.baobabspindle.core.log.EntryJoined;
import org.baobabspindle.core.log.EntryRemoved;
import org.baobabspindle.core.log.LogRecord;
import org.baobabspindle.core.log.Membership.RegionMembers;
import org.baobabspindle.logging.DecisionLog;
import org.baobabspindle.platform.LogAppender;
import org.baobabspindle.serving.EntryTables;
import org.baobabspindle.serving.RecordAppender;

/** Proposes this entry as a member of its region and proposes the removal of members that no longer respond. */
final class MembershipLoop {
    private static final Duration UNRESPONSIVE_TIMEOUT = Duration.ofSeconds(15);
    private static final Duration SETTLE_TIMEOUT = Duration.ofSeconds(3);
    private static final int MONITORED_SUCCESSORS = 2;

    private final EntryTables tables;
    private final RecordAppender appender;
    private final VersionClient versionClient;
    private final Map<Incarnation, Instant> unresponsiveSince = new HashMap<>();

    MembershipLoop(EntryTables tables, RecordAppender appender, VersionClient versionClient) {
        this.tables = tables;
        this.appender = appender;
        this.versionClient = versionClient;
    }

    /** Checks the membership of the region once and proposes at most one change. */
    void run() {
        Instant now = tables.clock().instant();
        boolean readable = tables.log().with(v -> v.freshness().isLogReadable(now, v.state()));
        if (!readable) {
            return;
        }
        RegionMembers members = members();
        Optional<EntryDescription> predecessor = members.entries().stream()
                .filter(e -> e.id().instance().equals(tables.id().instance()))
                .findFirst();
        if (predecessor.isEmpty()) {
            propose(members, new Proposal(tables.self(), true));
        } else if (!predecessor.get().id().equals(tables.id())) {
            propose(members, new Proposal(predecessor.get(), false));
        } else {
            removeUnresponsive(now, members);
        }
    }

    private record Proposal(EntryDescription entry, boolean join) {
        LogRecord record(long base, Set<Incarnation> evidence) {
            return join
                    ? new EntryJoined(entry, base, evidence)
                    : new EntryRemoved(entry.region(), entry.id(), base, evidence, false);
        }
    }

    private RegionMembers members() {
        return tables.log().with(v -> v.state().membership().of(tables.self().region()));
    }

    private void propose(RegionMembers members, Proposal proposal) {
        Set<Incarnation> evidence = collectEvidence(members);
        if (!members.isMajority(evidence)) {
            DecisionLog.write("membership-waits", "no majority has replayed the last change", "evidence", evidence);
            return;
        }
        CompletableFuture<LogAppender.AppendResult> result =
                appender.append(proposal.record(members.version(), evidence));
        try {
            result.get(SETTLE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            DecisionLog.write(
                    "membership-waits",
                    "the log has not settled the change in time",
                    "entry",
                    proposal.entry().id());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Returns the members that have replayed the current membership version. A later incarnation on the instance of a
     * member counts as that member: the member has terminated, and its successor read the log to its head before it
     * answered.
     */
    private Set<Incarnation> collectEvidence(RegionMembers members) {
        Map<Incarnation, CompletableFuture<VersionClient.VersionReply>> replies = new HashMap<>();
        for (EntryDescription e : members.entries()) {
            if (!e.id().instance().equals(tables.id().instance())) {
                replies.put(e.id(), versionClient.ask(e));
            }
        }
        Set<Incarnation> evidence = new HashSet<>();
        members.entries().stream()
                .map(EntryDescription::id)
                .filter(i -> i.instance().equals(tables.id().instance()))
                .forEach(evidence::add);
        replies.forEach((id, future) -> {
            Optional<VersionClient.VersionReply> reply = VersionClient.await(future);
            boolean sameOrSuccessor = reply.map(r -> r.from().instance().equals(id.instance())
                            && r.from().number() >= id.number())
                    .orElse(false);
            if (sameOrSuccessor && reply.get().vector().membership() >= members.version()) {
                evidence.add(id);
            }
        });
        return evidence;
    }

    private void removeUnresponsive(Instant now, RegionMembers members) {
        for (EntryDescription e : successors(members)) {
            Optional<VersionClient.VersionReply> reply = VersionClient.await(versionClient.ask(e));
            boolean alive = reply.map(r -> r.from().equals(e.id())).orElse(false);
            if (alive) {
                unresponsiveSince.remove(e.id());
                continue;
            }
            Instant since = unresponsiveSince.computeIfAbsent(e.id(), i -> now);
            if (!since.plus(UNRESPONSIVE_TIMEOUT).isAfter(now)) {
                DecisionLog.write("remove-entry", "unresponsive since " + since, "entry", e.id());
                propose(members(), new Proposal(e, false));
                return;
            }
        }
    }

    /**
     * Returns the members that this entry monitors: the two that follow it in a fixed order, so that the cost does
     * not grow with the size of the region.
     */
    private List<EntryDescription> successors(RegionMembers members) {
        List<Incarnation> ring = Rendezvous.rank(
                "watch", members.entries().stream().map(EntryDescription::id).toList());
        int own = ring.indexOf(tables.id());
        Set<Incarnation> monitored = new HashSet<>();
        for (int i = 1; i <= MONITORED_SUCCESSORS && i < ring.size(); i++) {
            monitored.add(ring.get((own + i) % ring.size()));
        }
        return members.entries().stream()
                .filter(e -> monitored.contains(e.id()))
                .toList();
    }

    /** Proposes the removal of this entry; the last step of a graceful shutdown. */
    void leave(RegionMembers members) {
        members.entries().stream()
                .filter(e -> e.id().equals(tables.id()))
                .findFirst()
                .ifPresent(e -> propose(members, new Proposal(e, false)));
    }
}
