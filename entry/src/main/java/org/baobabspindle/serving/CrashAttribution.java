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
 * Determines whether a request may have crashed the group that was running it. No request is suspected if the whole
 * fabric domain failed.
 */
final class CrashAttribution {
    private static final Duration APPEND_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration PEER_REPLAY_TIMEOUT = Duration.ofMillis(800);
    private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration MAX_ANSWER_AGE = Duration.ofSeconds(5);
    private static final int MAX_OTHER_ENGINES = 8;

    private final EntryTables tables;
    private final EngineClient engines;
    private final RecordAppender recordAppender;

    CrashAttribution(EntryTables tables, EngineClient engines, RecordAppender recordAppender) {
        this.tables = tables;
        this.engines = engines;
        this.recordAppender = recordAppender;
    }

    /** Returns how many groups have crashed while running a request, as far as this entry has replayed the log. */
    int crashCount(CallerRequest request) {
        return tables.log().with(v -> v.state().crashHistory().crashCount(request.fingerprint()));
    }

    /**
     * Records that a group failed while running a request. If the request is suspected, waits until the entries that
     * answer have replayed the suspicion, up to a timeout.
     */
    void groupFailed(Instant now, CallerRequest request, GroupId group) {
        tables.groups().use(g -> g.assessments().markSuspect(now, group));
        Optional<Group> knownGroup =
                tables.log().with(v -> v.state().groupState().group(group));
        CrashJudgement judgement = knownGroup.map(g -> probeAndJudge(now, g)).orElse(CrashJudgement.SUSPECT);
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
            await(recordAppender.append(new CrashSuspected(request.fingerprint(), group)), APPEND_TIMEOUT);
            await(recordAppender.requestPeerReplay(), PEER_REPLAY_TIMEOUT);
        }
    }

    private CrashJudgement probeAndJudge(Instant now, Group group) {
        List<PlatformInstance> members = new ArrayList<>();
        List<PlatformInstance> otherEngines = new ArrayList<>();
        tables.log().use(v -> tables.groups().use(g -> {
            for (PlatformInstance e : g.instances().engines()) {
                if (group.members().contains(e.id())) {
                    members.add(e);
                } else if (e.domain().equals(group.domain()) && answeredRecently(now, e, v, g)) {
                    otherEngines.add(e);
                }
            }
        }));
        AtomicBoolean headAnswered = new AtomicBoolean();
        AtomicInteger membersAnswering = new AtomicInteger();
        AtomicInteger otherEnginesAnswering = new AtomicInteger();
        List<CompletableFuture<Void>> probes = new ArrayList<>();
        members.forEach(e -> probes.add(probe(now, e, r -> {
            membersAnswering.incrementAndGet();
            headAnswered.compareAndSet(false, r.member().equals(group.head()));
        })));
        otherEngines.stream()
                .limit(MAX_OTHER_ENGINES)
                .forEach(e -> probes.add(probe(now, e, r -> otherEnginesAnswering.incrementAndGet())));
        await(CompletableFuture.allOf(probes.toArray(CompletableFuture<?>[]::new)), PROBE_TIMEOUT);
        return CrashJudgement.of(new CrashJudgement.ProbeResults(
                headAnswered.get(), membersAnswering.get(), otherEngines.size(), otherEnginesAnswering.get()));
    }

    /** Returns whether an engine answered recently: it reported to this entry, or its group was confirmed. */
    private static boolean answeredRecently(Instant now, PlatformInstance engine, LogView v, GroupTables g) {
        Instant oldest = now.minus(MAX_ANSWER_AGE);
        boolean reported = g.reports()
                .of(engine.id().instance())
                .map(r -> r.probeSentAt().isAfter(oldest))
                .orElse(false);
        boolean confirmed = v.state()
                .groupState()
                .groupOf(engine.id().instance())
                .flatMap(g.assessments()::of)
                .flatMap(GroupAssessment::confirmedAsOf)
                .map(c -> c.isAfter(oldest))
                .orElse(false);
        return reported || confirmed;
    }

    private CompletableFuture<Void> probe(Instant now, PlatformInstance engine, Consumer<MemberReport> onAnswer) {
        return engines.report(engine, now)
                .thenAccept(r -> {
                    recordReport(r);
                    onAnswer.accept(r);
                })
                .exceptionally(e -> null);
    }

    private void recordReport(MemberReport report) {
        tables.groups().use(g -> g.reports().add(report));
    }

    private static void await(CompletableFuture<?> future, Duration timeout) {
        try {
            future.get(timeout.toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            DecisionLog.write("crash-wait", "not completed within " + timeout);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
