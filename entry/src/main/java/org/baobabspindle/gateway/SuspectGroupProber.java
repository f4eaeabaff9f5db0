package org.baobabspindle.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.GroupMembership;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.logging.EventLog;
import org.baobabspindle.port.EnginePort;
import org.baobabspindle.port.EngineReport;

/** Asks the members of groups that have fallen silent, and takes those groups out of use whose members do not answer. */
final class SuspectGroupProber {
    /** The wait for the answer to a probe; many times the way to an engine, shorter than a lost packet sent thrice. */
    static final Duration PROBE_TIMEOUT = Duration.ofMillis(200);

    /** How long a group with a silent member is left out; its keeper has dissolved it by then. */
    private static final Duration LEFT_OUT = Duration.ofSeconds(4);

    private final GatewayContext context;
    private final EnginePort engines;
    private final Consumer<List<BackendServer>> suspects;
    private final EventLog log;

    SuspectGroupProber(
            GatewayContext context, EnginePort engines, Consumer<List<BackendServer>> suspects, EventLog log) {
        this.context = context;
        this.engines = engines;
        this.suspects = suspects;
        this.log = log;
    }

    void tick(Moment now) {
        for (String target : context.dispatcher().suspects(now)) {
            ask(target);
        }
    }

    private void ask(String target) {
        List<BackendServer> members = new ArrayList<>();
        for (BackendServer s : context.fleet().servers()) {
            if (s.group().map(GroupMembership::key).map(Object::toString).equals(Optional.of(target))) {
                members.add(s);
            }
        }
        Map<BackendServer, Optional<EngineReport>> answers = new ConcurrentHashMap<>();
        CompletableFuture<?>[] probes = members.stream()
                .map(m -> engines.probe(m, PROBE_TIMEOUT).thenAccept(a -> answers.put(m, a)))
                .toArray(CompletableFuture<?>[]::new);
        CompletableFuture.allOf(probes).thenRun(() -> judge(target, answers));
    }

    /** Takes over another entry's finding for groups that are at present silent for this entry, too. */
    void receiveSuspects(List<BackendServer> silent, Moment now) {
        for (BackendServer s : silent) {
            Optional<String> target = s.group().map(GroupMembership::key).map(Object::toString);
            if (target.isPresent() && context.dispatcher().unresponsive(target.get(), now)) {
                context.dispatcher().exclude(target.get(), now.plus(LEFT_OUT));
                context.targetLost(target.get(), false);
            }
        }
    }

    private void judge(String target, Map<BackendServer, Optional<EngineReport>> answers) {
        Moment now = context.clock().now();
        List<BackendServer> silent = new ArrayList<>();
        List<BackendServer> strayed = new ArrayList<>();
        answers.forEach((server, report) -> {
            if (report.isEmpty()) {
                silent.add(server);
            } else if (!report.get().group().map(Object::toString).equals(Optional.of(target))) {
                strayed.add(server);
            }
        });
        log.write(
                "doubt",
                silent.isEmpty() && strayed.isEmpty() ? "all members answer" : "members are missing",
                "target",
                target,
                "silent",
                silent.stream().map(BackendServer::id).toList(),
                "strayed",
                strayed.stream().map(BackendServer::id).toList());
        if (silent.isEmpty() && strayed.isEmpty()) {
            context.dispatcher().clearSuspicion(target, now);
            return;
        }
        context.dispatcher().exclude(target, now.plus(LEFT_OUT));
        if (!silent.isEmpty()) {
            suspects.accept(silent);
        }
        boolean headSilent = silent.stream()
                .anyMatch(s -> s.group().filter(GroupMembership::head).isPresent());
        context.targetLost(target, headSilent && silent.size() < answers.size());
    }
}
