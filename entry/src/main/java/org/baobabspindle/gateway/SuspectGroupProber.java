package org.baobabspindle.gateway;

import java.time.Duration;
import java.util.ArrayList;
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

    /** The servers outside a group that are probed together with it. */
    private static final int MAX_REFERENCES = 2;

    private final GatewayContext context;
    private final EnginePort engines;
    private final Consumer<List<BackendServer>> suspectSink;
    private final EventLog log;

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
    }

    private void probe(String target) {
        Moment startedAt = context.clock().now();
        List<BackendServer> members = new ArrayList<>();
        for (BackendServer s : context.fleet().servers()) {
            if (s.group().map(GroupMembership::key).map(Object::toString).equals(Optional.of(target))) {
                members.add(s);
            }
        }
        Map<BackendServer, Optional<EngineReport>> reports = new ConcurrentHashMap<>();
        CompletableFuture<?>[] probes = members.stream()
                .map(m -> engines.probe(m, PROBE_TIMEOUT).thenAccept(a -> reports.put(m, a)))
                .toArray(CompletableFuture<?>[]::new);
        CompletableFuture.allOf(Stream.concat(Stream.of(probes), probeReferences(members))
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
                context.dispatcher().exclude(target.get(), now.plus(EXCLUSION_TIME));
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
            } else if (!report.get().group().map(Object::toString).equals(Optional.of(target))) {
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
        context.dispatcher().exclude(target, now.plus(EXCLUSION_TIME));
        if (!unresponsive.isEmpty()) {
            suspectSink.accept(unresponsive);
        }
        boolean headUnresponsive = unresponsive.stream()
                .anyMatch(s -> s.group().filter(GroupMembership::head).isPresent());
        context.targetLost(target, headUnresponsive && unresponsive.size() < reports.size());
    }
}
