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

/** Has this entry counted among those of its region, and has entries that are gone removed. */
final class MembershipLoop {
    private static final Duration SILENCE_BEFORE_REMOVAL = Duration.ofSeconds(15);
    private static final Duration SETTLE_WAIT = Duration.ofSeconds(3);
    private static final int WATCHED_SUCCESSORS = 2;

    private final EntryTables tables;
    private final RecordAppender appends;
    private final VersionClient asker;
    private final Map<Incarnation, Instant> silentSince = new HashMap<>();

    MembershipLoop(EntryTables tables, RecordAppender appends, VersionClient asker) {
        this.tables = tables;
        this.appends = appends;
        this.asker = asker;
    }

    /** Looks once. */
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
            removeSilent(now, members);
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
        Set<Incarnation> evidence = evidence(members);
        if (!members.isMajority(evidence)) {
            DecisionLog.write("membership-waits", "no majority has replayed the last change", "evidence", evidence);
            return;
        }
        CompletableFuture<LogAppender.AppendResult> settled =
                appends.append(proposal.record(members.version(), evidence));
        try {
            settled.get(SETTLE_WAIT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            DecisionLog.write(
                    "membership-waits",
                    "the log has not settled the change",
                    "entry",
                    proposal.entry().id());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Returns the members that have replayed the present membership version. An entry that runs in the place of a member
     * counts for it: the member is gone, and its successor had read the log to its head before it answered.
     */
    private Set<Incarnation> evidence(RegionMembers members) {
        Map<Incarnation, CompletableFuture<VersionClient.VersionReply>> asked = new HashMap<>();
        for (EntryDescription e : members.entries()) {
            if (!e.id().instance().equals(tables.id().instance())) {
                asked.put(e.id(), asker.ask(e));
            }
        }
        Set<Incarnation> evidence = new HashSet<>();
        members.entries().stream()
                .map(EntryDescription::id)
                .filter(i -> i.instance().equals(tables.id().instance()))
                .forEach(evidence::add);
        asked.forEach((id, answer) -> {
            Optional<VersionClient.VersionReply> heard = VersionClient.await(answer);
            boolean same = heard.map(h -> h.from().instance().equals(id.instance())
                            && h.from().number() >= id.number())
                    .orElse(false);
            if (same && heard.get().vector().membership() >= members.version()) {
                evidence.add(id);
            }
        });
        return evidence;
    }

    private void removeSilent(Instant now, RegionMembers members) {
        for (EntryDescription e : successors(members)) {
            Optional<VersionClient.VersionReply> heard = VersionClient.await(asker.ask(e));
            boolean alive = heard.map(h -> h.from().equals(e.id())).orElse(false);
            if (alive) {
                silentSince.remove(e.id());
                continue;
            }
            Instant since = silentSince.computeIfAbsent(e.id(), i -> now);
            if (!since.plus(SILENCE_BEFORE_REMOVAL).isAfter(now)) {
                DecisionLog.write("remove-entry", "silent since " + since, "entry", e.id());
                propose(members(), new Proposal(e, false));
                return;
            }
        }
    }

    /** Each entry watches the two that follow it in a fixed order, so the cost does not grow with the region. */
    private List<EntryDescription> successors(RegionMembers members) {
        List<Incarnation> ring = Rendezvous.rank(
                "watch", members.entries().stream().map(EntryDescription::id).toList());
        int own = ring.indexOf(tables.id());
        Set<Incarnation> watched = new HashSet<>();
        for (int i = 1; i <= WATCHED_SUCCESSORS && i < ring.size(); i++) {
            watched.add(ring.get((own + i) % ring.size()));
        }
        return members.entries().stream().filter(e -> watched.contains(e.id())).toList();
    }

    /** Has this entry removed as its last act. */
    void leave(RegionMembers members) {
        members.entries().stream()
                .filter(e -> e.id().equals(tables.id()))
                .findFirst()
                .ifPresent(e -> propose(members, new Proposal(e, false)));
    }
}
