package org.baobabspindle.gateway;

import java.time.Duration;
import java.util.List;
import org.baobabspindle.core.crash.Crash;
import org.baobabspindle.core.crash.CrashEvidence;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.FleetService;
import org.baobabspindle.core.id.RequestFingerprint;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.logging.EventLog;
import org.baobabspindle.port.EnginePort;

/**
 * Finds out which requests were running at backend servers that ended. Its lock is the last one to be taken but for that of the
 * fleet table.
 */
final class CrashGuard {
    /** The wait for the answer to a question; a silent server is asked again. */
    private static final Duration QUESTION_TIMEOUT = SilenceGuard.PROBE_TIMEOUT;

    private final FleetTable fleet;
    private final EnginePort engines;
    private final GatewayClock clock;
    private final EventLog log;
    private final GatewayMetrics metrics;
    private final CrashEvidence evidence = new CrashEvidence();
    private volatile boolean inquiring;

    CrashGuard(FleetTable fleet, EnginePort engines, GatewayClock clock, EventLog log, GatewayMetrics metrics) {
        this.fleet = fleet;
        this.engines = engines;
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
    }

    /** Notes that a server broke a request off. One that is about to leave, or is not listed, ends as planned. */
    void brokeOff(RequestFingerprint request, String requestId, BackendServer server, Moment now) {
        boolean serving = fleet.serving(server.lifetime());
        log.write(
                "broken-off",
                serving ? "the server is asked whether it runs" : "the server was leaving",
                "request",
                requestId,
                "fingerprint",
                request,
                "server",
                server.id(),
                "born",
                server.bornMillis());
        metrics.brokenOff();
        if (!serving) {
            return;
        }
        synchronized (this) {
            evidence.broke(request, server, now);
            inquiring = true;
        }
    }

    /** Notes that a piece of an answer has come from a server. */
    void heardFrom(BackendServer server, Moment now) {
        if (!inquiring) {
            return;
        }
        synchronized (this) {
            evidence.heardFrom(server.lifetime(), now);
            inquiring = !evidence.isEmpty();
        }
    }

    /** Takes over the list of backend servers. */
    void listed() {
        if (!inquiring) {
            return;
        }
        List<Crash> proven;
        synchronized (this) {
            proven = evidence.listed(fleet.servers());
            inquiring = !evidence.isEmpty();
        }
        crashed(proven, "a later server is listed");
    }

    /** Asks servers whether they run. */
    void tick(Moment now) {
        if (!inquiring) {
            return;
        }
        List<BackendServer> due;
        synchronized (this) {
            due = evidence.due(now);
            inquiring = !evidence.isEmpty();
        }
        due.forEach(this::ask);
    }

    private void ask(BackendServer server) {
        Moment askedAt = clock.now();
        engines.liveness(server, healthPath(server), QUESTION_TIMEOUT).thenAccept(liveness -> {
            List<Crash> proven;
            synchronized (this) {
                proven = evidence.answered(server.lifetime(), liveness, askedAt);
                inquiring = !evidence.isEmpty();
            }
            log.write("liveness", "asked because it broke requests off", "server", server.id(), "answer", liveness);
            crashed(proven, "it was asked");
        });
    }

    private String healthPath(BackendServer server) {
        return fleet.configuration()
                .flatMap(c -> c.service(server.service()))
                .map(FleetService::healthPath)
                .orElse("/");
    }

    private void crashed(List<Crash> proven, String why) {
        for (Crash c : proven) {
            log.write(
                    "crash",
                    "the server ended while it ran the request: " + why,
                    "fingerprint",
                    c.request(),
                    "server",
                    c.server().id(),
                    "born",
                    c.server().bornMillis());
        }
        metrics.crashed(proven.size());
    }
}
