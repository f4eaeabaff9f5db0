package org.baobabspindle.node;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
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
import org.baobabspindle.core.group.GroupAssessment;
import org.baobabspindle.core.group.GroupAssessor;
import org.baobabspindle.core.group.GroupTimings;
import org.baobabspindle.core.group.PlatformInstance;
import org.baobabspindle.core.id.GroupId;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.ModelVersion;
import org.baobabspindle.core.log.EntryDescription;
import org.baobabspindle.core.log.Group;
import org.baobabspindle.core.log.GroupState;
import org.baobabspindle.core.request.GroupSubset;
import org.baobabspindle.peer.PeerAddress;
import org.baobabspindle.peer.PeerClient;
import org.baobabspindle.peer.PeerMessage;
import org.baobabspindle.runner.EngineClient;
import org.baobabspindle.serving.EntryTables;
import org.baobabspindle.serving.GroupProber;

/**
 * Keeps the assessments of the tracked groups recent: requests them from the keeper of each group's domain, and
 * probes the members itself if the keeper does not answer.
 */
final class GroupAssessmentLoop implements GroupProber {
    private static final Duration KEEPER_TIMEOUT = Duration.ofMillis(500);
    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(700);

    private final EntryTables tables;
    private final PeerClient peers;
    private final EngineClient engines;
    private final GroupAssessor assessor;

    GroupAssessmentLoop(EntryTables tables, PeerClient peers, EngineClient engines, GroupTimings timings) {
        this.tables = tables;
        this.peers = peers;
        this.engines = engines;
        this.assessor = new GroupAssessor(timings);
    }

    /** Updates the assessments of all tracked groups once; returns when all answers have arrived or timed out. */
    void run() {
        List<Group> groups = new ArrayList<>();
        Map<Incarnation, List<Group>> byKeeper = new HashMap<>();
        tables.log().use(v -> {
            groups.addAll(trackedGroups(v.state().groupState()));
            for (Group g : groups) {
                v.state().groupState().claim(g.domain()).ifPresent(c -> byKeeper.computeIfAbsent(
                                c.holder(), h -> new ArrayList<>())
                        .add(g));
            }
            tables.groups().use(t -> t.assessments().retain(v.state().groupState()));
        });
        Set<GroupId> updated = new HashSet<>(assessKeptGroups(byKeeper.getOrDefault(tables.id(), List.of())));
        updated.addAll(askKeepers(byKeeper));
        probeMembers(groups.stream().filter(g -> !updated.contains(g.id())).toList());
    }

    /** Returns the groups in this entry's subset for each model. */
    private List<Group> trackedGroups(GroupState state) {
        Map<ModelVersion, List<GroupId>> byModel = new HashMap<>();
        for (Group g : state.groups()) {
            byModel.computeIfAbsent(g.model(), m -> new ArrayList<>()).add(g.id());
        }
        Set<GroupId> chosen = new HashSet<>();
        byModel.values().forEach(ids -> chosen.addAll(GroupSubset.of(tables.id(), ids, GroupSubset.MAX_SIZE)));
        return state.groups().stream().filter(g -> chosen.contains(g.id())).toList();
    }

    private Set<GroupId> assessKeptGroups(List<Group> kept) {
        Instant now = tables.clock().instant();
        Set<GroupId> assessed = new HashSet<>();
        tables.log().use(v -> tables.groups().use(t -> {
            for (Group g : kept) {
                Optional<GroupAssessment> a = t.keeper().assess(now, t.keeperView(v.state(), false), g);
                a.ifPresent(x -> {
                    t.assessments().add(now, x);
                    assessed.add(g.id());
                });
            }
        }));
        return assessed;
    }

    private Set<GroupId> askKeepers(Map<Incarnation, List<Group>> byKeeper) {
        List<CompletableFuture<Set<GroupId>>> replies = new ArrayList<>();
        for (Map.Entry<Incarnation, List<Group>> e : byKeeper.entrySet()) {
            Optional<EntryDescription> keeper =
                    tables.log().with(v -> v.state().membership().find(e.getKey()));
            if (keeper.isPresent() && !e.getKey().equals(tables.id())) {
                replies.add(askKeeper(keeper.get(), e.getValue()));
            }
        }
        Set<GroupId> updated = new HashSet<>();
        replies.forEach(a -> updated.addAll(await(a, KEEPER_TIMEOUT, Set.of())));
        return updated;
    }

    private CompletableFuture<Set<GroupId>> askKeeper(EntryDescription keeper, List<Group> groups) {
        Instant askedAt = tables.clock().instant();
        PeerMessage ask =
                new PeerMessage.GroupsAsk(groups.stream().map(Group::id).toList());
        return peers.ask(new PeerAddress(keeper.peerHost(), keeper.peerPort()), ask, KEEPER_TIMEOUT)
                .thenApply(answer -> recordDigests(askedAt, answer))
                .exceptionally(e -> Set.of());
    }

    /**
     * Records the assessments of a keeper. Their ages are counted back from the time of the request, which precedes the
     * answer, so no assessment appears newer than it is.
     */
    private Set<GroupId> recordDigests(Instant askedAt, PeerMessage answer) {
        Set<GroupId> updated = new HashSet<>();
        if (answer instanceof PeerMessage.GroupsAnswer groups) {
            tables.groups().use(t -> {
                for (PeerMessage.GroupDigest d : groups.digests()) {
                    Optional<Instant> confirmed = d.lifecycle().acceptsRequests()
                            ? Optional.of(askedAt.minusMillis(d.ageMillis()))
                            : Optional.empty();
                    t.assessments().add(askedAt, new GroupAssessment(d.group(), d.lifecycle(), confirmed, d.running()));
                    updated.add(d.group());
                }
            });
        }
        return updated;
    }

    @Override
    public void probeMembers(Collection<Group> groups) {
        Instant askedAt = tables.clock().instant();
        List<CompletableFuture<Void>> reports = new ArrayList<>();
        for (Group g : groups) {
            for (Incarnation m : g.members()) {
                Optional<PlatformInstance> engine = tables.groups().with(t -> t.engine(m));
                engine.ifPresent(e -> reports.add(engines.report(e, askedAt)
                        .thenAccept(r -> tables.groups().use(t -> t.reports().add(r)))
                        .exceptionally(x -> null)));
            }
        }
        CompletableFuture<Void> all = CompletableFuture.allOf(reports.toArray(CompletableFuture<?>[]::new));
        await(all, PROBE_TIMEOUT, null);
        Instant now = tables.clock().instant();
        tables.log().use(v -> tables.groups().use(t -> {
            for (Group g : groups) {
                GroupAssessment a = assessor.assess(
                        now, g, t.reports(), Instant.MIN, v.state().configuration());
                t.assessments().add(askedAt, a);
            }
        }));
    }

    private static <T> T await(CompletableFuture<T> future, Duration timeout, T defaultValue) {
        try {
            return future.get(timeout.toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            return defaultValue;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return defaultValue;
        }
    }
}
