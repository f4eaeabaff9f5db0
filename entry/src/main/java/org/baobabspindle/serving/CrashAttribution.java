package org.baobabspindle.serving;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.baobabspindle.core.group.GroupAssessment;
import org.baobabspindle.core.group.MemberReport;
import org.baobabspindle.core.group.PlatformInstance;
import org.baobabspindle.core.id.GroupId;
import org.baobabspindle.core.log.CrashSuspected;
import org.baobabspindle.core.log.Group;
import org.baobabspindle.core.request.CrashJudgement;
import org.baobabspindle.logging.DecisionLog;
import org.baobabspindle.runner.EngineClient;

/**
 * Judges whether a request may have crashed the group that was running it. A fabric domain that went dark as a whole
 * makes no request a suspect.
 */
final class CrashAttribution {
    private static final Duration RECORD_WAIT = Duration.ofSeconds(1);
    private static final Duration SPREAD_WAIT = Duration.ofMillis(800);
    private static final Duration PROBE_WAIT = Duration.ofSeconds(1);
    private static final Duration RECENT = Duration.ofSeconds(5);
    private static final int MOST_WITNESSES = 8;

    private final EntryTables tables;
    private final EngineClient engines;
    private final RecordAppender appends;

    CrashAttribution(EntryTables tables, EngineClient engines, RecordAppender appends) {
        this.tables = tables;
        this.engines = engines;
        this.appends = appends;
    }

    /** Returns how many groups have crashed with a request in flight, as far as this entry has replayed. */
    int crashes(CallerRequest request) {
        return tables.log().with(v -> v.state().crashHistory().crashCount(request.fingerprint()));
    }

    /** Notes that a group broke while it ran a request; returns once the entries that answer know. */
    void broke(Instant now, CallerRequest request, GroupId group) {
        tables.groups().use(g -> g.assessments().markSuspect(now, group));
        Optional<Group> known = tables.log().with(v -> v.state().groupState().group(group));
        CrashJudgement judgement = known.map(g -> judge(now, g)).orElse(CrashJudgement.SUSPECT);
        DecisionLog.write(
                "crash",
                judgement.toString(),
                "request",
                request.fingerprint(),
                "group",
                group,
                "account",
                request.account());
        if (judgement == CrashJudgement.SUSPECT) {
            await(appends.append(new CrashSuspected(request.fingerprint(), group)), RECORD_WAIT);
            await(appends.requestPeerReplay(), SPREAD_WAIT);
        }
    }

    private CrashJudgement judge(Instant now, Group group) {
        List<PlatformInstance> members = new ArrayList<>();
        List<PlatformInstance> witnesses = new ArrayList<>();
        tables.log().use(v -> tables.groups().use(g -> {
            for (PlatformInstance e : g.instances().engines()) {
                if (group.members().contains(e.id())) {
                    members.add(e);
                } else if (e.domain().equals(group.domain()) && answeredLately(now, e, v, g)) {
                    witnesses.add(e);
                }
            }
        }));
        AtomicBoolean leadAnswering = new AtomicBoolean();
        AtomicInteger membersAnswering = new AtomicInteger();
        AtomicInteger witnessesAnswering = new AtomicInteger();
        List<CompletableFuture<Void>> asked = new ArrayList<>();
        members.forEach(e -> asked.add(ask(now, e, r -> {
            membersAnswering.incrementAndGet();
            leadAnswering.compareAndSet(false, r.member().equals(group.head()));
        })));
        witnesses.stream()
                .limit(MOST_WITNESSES)
                .forEach(e -> asked.add(ask(now, e, r -> witnessesAnswering.incrementAndGet())));
        await(CompletableFuture.allOf(asked.toArray(CompletableFuture<?>[]::new)), PROBE_WAIT);
        return CrashJudgement.of(new CrashJudgement.ProbeResults(
                leadAnswering.get(), membersAnswering.get(), witnesses.size(), witnessesAnswering.get()));
    }

    /** An engine answered lately if it reported to this entry, or if the group it is in was confirmed. */
    private static boolean answeredLately(Instant now, PlatformInstance engine, LogView v, GroupTables g) {
        Instant since = now.minus(RECENT);
        boolean reported = g.reports()
                .of(engine.id().instance())
                .map(r -> r.probeSentAt().isAfter(since))
                .orElse(false);
        boolean confirmed = v.state()
                .groupState()
                .groupOf(engine.id().instance())
                .flatMap(g.assessments()::of)
                .flatMap(GroupAssessment::confirmedAsOf)
                .map(c -> c.isAfter(since))
                .orElse(false);
        return reported || confirmed;
    }

    private CompletableFuture<Void> ask(Instant now, PlatformInstance engine, Consumer<MemberReport> answered) {
        return engines.report(engine, now)
                .thenAccept(r -> {
                    note(r);
                    answered.accept(r);
                })
                .exceptionally(e -> null);
    }

    private void note(MemberReport report) {
        tables.groups().use(g -> g.reports().add(report));
    }

    private static void await(CompletableFuture<?> future, Duration wait) {
        try {
            future.get(wait.toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            DecisionLog.write("crash-wait", "not settled in " + wait);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
