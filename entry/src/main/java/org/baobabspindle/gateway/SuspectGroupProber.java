package org.baobabspindle.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.GroupMembership;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.logging.EventLog;
import org.baobabspindle.port.EnginePort;
import org.baobabspindle.port.EngineReport;

/** Probes the members of groups whose streams have stalled, and excludes groups with members that do not respond. */
final class SuspectGroupProber {
    /**
     * The timeout of a probe: many times the round trip to an engine, but shorter than the time that a packet takes if
     * it is lost and retransmitted twice.
     */
    static final Duration PROBE_TIMEOUT = Duration.ofMillis(200);

    /** How long a group with an unresponsive member is excluded; its keeper has dissolved it by then. */
    static final Duration EXCLUSION_TIME = Duration.ofSeconds(4);

    /** The time between two probes of an excluded group; longer than the timeout, so that one is in flight at a time. */
    private static final Duration EXCLUDED_PROBE_INTERVAL = Duration.ofMillis(250);

    /** The servers outside a group that are probed together with it. */
    private static final int MAX_REFERENCES = 2;

    private final GatewayContext context;
    private final EnginePort engines;
    private final Consumer<List<BackendServer>> suspectSink;
    private final EventLog log;
    private final Map<String, Exclusion> exclusions = new HashMap<>();

    private record Exclusion(Moment until, Moment nextProbe) {}

    SuspectGroupProber(
            GatewayContext context, EnginePort engines, Consumer<List<BackendServer>> suspects, EventLog log) {
        this.context = context;
        this.engines = engines;
        this.suspectSink = suspects;
        this.log = log;
    }

    void tick(Moment now) {
        if (context.reachability().isPartitioned()) {
            return;
        }
        for (String target : context.dispatcher().suspects(now)) {
            probe(target);
        }
        beginProbesOfExcluded(now).forEach(this::probeExcluded);
    }

    private void exclude(String target, Moment now) {
        Moment until = now.plus(EXCLUSION_TIME);
        context.dispatcher().exclude(target, until);
        synchronized (this) {
            exclusions.put(target, new Exclusion(until, now.plus(EXCLUDED_PROBE_INTERVAL)));
        }
    }

    private synchronized Map<String, Exclusion> beginProbesOfExcluded(Moment now) {
        exclusions.values().removeIf(x -> !now.isBefore(x.until()));
        Map<String, Exclusion> due = new HashMap<>();
        exclusions.forEach((target, x) -> {
            if (!now.isBefore(x.nextProbe())) {
                due.put(target, new Exclusion(x.until(), now.plus(EXCLUDED_PROBE_INTERVAL)));
            }
        });
        exclusions.putAll(due);
        return due;
    }

    /** Ends the exclusion of a group if all members respond. */
    private void probeExcluded(String target, Exclusion exclusion) {
        List<BackendServer> members = members(target);
        Map<BackendServer, Optional<EngineReport>> reports = new ConcurrentHashMap<>();
        CompletableFuture.allOf(probeMembers(members, reports).toArray(CompletableFuture<?>[]::new))
                .thenRun(() -> {
                    boolean complete = !members.isEmpty()
                            && reports.values().stream().allMatch(r -> r.filter(x -> isOf(target, x))
                                    .isPresent());
                    if (complete && removeExclusion(target, exclusion)) {
                        log.write("doubt", "all members respond again", "target", target);
                        context.dispatcher()
                                .endExclusion(target, context.clock().now());
                    }
                });
    }

    /** Removes an exclusion; returns false if the group was excluded again or is already probed again. */
    private synchronized boolean removeExclusion(String target, Exclusion exclusion) {
        return exclusions.remove(target, exclusion);
    }

    private static boolean isOf(String target, EngineReport report) {
        return report.group().map(Object::toString).equals(Optional.of(target));
    }

    private List<BackendServer> members(String target) {
        List<BackendServer> members = new ArrayList<>();
        for (BackendServer s : context.fleet().servers()) {
            if (s.group().map(GroupMembership::key).map(Object::toString).equals(Optional.of(target))) {
                members.add(s);
            }
        }
        return members;
    }

    private Stream<CompletableFuture<?>> probeMembers(
            List<BackendServer> members, Map<BackendServer, Optional<EngineReport>> reports) {
        return members.stream().map(m -> engines.probe(m, PROBE_TIMEOUT).thenAccept(a -> reports.put(m, a)));
    }

    private void probe(String target) {
        Moment startedAt = context.clock().now();
        List<BackendServer> members = members(target);
        Map<BackendServer, Optional<EngineReport>> reports = new ConcurrentHashMap<>();
        CompletableFuture.allOf(Stream.concat(probeMembers(members, reports), probeReferences(members))
                        .toArray(CompletableFuture<?>[]::new))
                .thenRun(() -> probesCompleted(target, reports, startedAt));
    }

    /** Probes servers outside the group, whose answers show that this entry is not the one that has failed. */
    private Stream<CompletableFuture<?>> probeReferences(List<BackendServer> members) {
        Set<String> domains = new HashSet<>();
        members.forEach(m -> domains.add(m.failureDomain()));
        List<BackendServer> others = new ArrayList<>();
        for (BackendServer s : context.fleet().servers()) {
            if (s.ready() && !members.contains(s) && !domains.contains(s.failureDomain())) {
                others.add(s);
            }
        }
        List<CompletableFuture<?>> result = new ArrayList<>();
        for (int i = 0; i < MAX_REFERENCES && !others.isEmpty(); i++) {
            BackendServer s = others.remove(context.random().nextInt(others.size()));
            result.add(engines.probeLiveness(s, context.fleet().healthPath(s), PROBE_TIMEOUT));
        }
        return result.stream();
    }

    /**
     * Excludes the groups of engines that another entry found unresponsive, if their streams are stalled at this entry
     * as well.
     */
    void receiveSuspects(List<BackendServer> unresponsive, Moment now) {
        if (context.reachability().isPartitioned()) {
            return;
        }
        for (BackendServer s : unresponsive) {
            Optional<String> target = s.group().map(GroupMembership::key).map(Object::toString);
            if (target.isPresent() && context.dispatcher().unresponsive(target.get(), now)) {
                exclude(target.get(), now);
                context.targetLost(target.get(), false);
            }
        }
    }

    private void probesCompleted(String target, Map<BackendServer, Optional<EngineReport>> reports, Moment startedAt) {
        Moment now = context.clock().now();
        List<BackendServer> unresponsive = new ArrayList<>();
        List<BackendServer> elsewhere = new ArrayList<>();
        reports.forEach((server, report) -> {
            if (report.isEmpty()) {
                unresponsive.add(server);
            } else if (!isOf(target, report.get())) {
                elsewhere.add(server);
            }
        });
        log.write(
                "doubt",
                unresponsive.isEmpty() && elsewhere.isEmpty()
                        ? "all members responded"
                        : "members are unresponsive or in another group",
                "target",
                target,
                "silent",
                unresponsive.stream().map(BackendServer::id).toList(),
                "strayed",
                elsewhere.stream().map(BackendServer::id).toList());
        if (unresponsive.isEmpty() && elsewhere.isEmpty()) {
            context.dispatcher().clearSuspicion(target, now);
            return;
        }
        if (!unresponsive.isEmpty() && !context.reachability().heardFromOthersSince(startedAt, unresponsive)) {
            log.write("doubt", "no other server responded, so that the probes show nothing", "target", target);
            return;
        }
        exclude(target, now);
        if (!unresponsive.isEmpty()) {
            suspectSink.accept(unresponsive);
        }
        boolean headUnresponsive = unresponsive.stream()
                .anyMatch(s -> s.group().filter(GroupMembership::head).isPresent());
        context.targetLost(target, headUnresponsive && unresponsive.size() < reports.size());
    }
}
