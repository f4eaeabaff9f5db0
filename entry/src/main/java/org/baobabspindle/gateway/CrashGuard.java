package org.baobabspindle.gateway;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.baobabspindle.core.crash.Crash;
import org.baobabspindle.core.crash.CrashDetector;
import org.baobabspindle.core.crash.RequestQuarantine;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.FleetService;
import org.baobabspindle.core.fleet.Liveness;
import org.baobabspindle.core.id.PromptPart;
import org.baobabspindle.core.id.RequestFingerprint;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.logging.EventLog;
import org.baobabspindle.peer.PeerMessage;
import org.baobabspindle.port.EnginePort;

/**
 * Quarantines requests that crash the backend servers that run them: determines which requests were running at servers
 * that crashed, and shares the crashes with the other entries. Lock order: its lock is acquired before those of the
 * fleet table and the peer mesh, and after all others.
 */
final class CrashGuard {
    private static final Logger LOGGER = System.getLogger(CrashGuard.class.getName());

    /** The timeout of a liveness probe; an unresponsive server is probed again. */
    private static final Duration PROBE_TIMEOUT = SuspectGroupProber.PROBE_TIMEOUT;

    private final FleetTable fleet;
    private final EnginePort engines;
    private final GatewayClock clock;
    private final EventLog log;
    private final GatewayMetrics metrics;
    private final RandomGenerator random;
    private final CrashDetector detector = new CrashDetector();
    private final RequestQuarantine quarantine = new RequestQuarantine();
    private volatile Peers peers = Peers.NONE;
    private volatile boolean investigating;
    private volatile boolean tracking;

    /** Communicates with the other entries. */
    interface Peers {
        Peers NONE = new Peers() {
            @Override
            public void broadcast(List<PeerMessage.CrashNotice> notices) {
                // There are no peers.
            }

            @Override
            public boolean retriesHere(RequestFingerprint request, Moment now) {
                return true;
            }
        };

        /** Broadcasts crash notices to the other entries. */
        void broadcast(List<PeerMessage.CrashNotice> notices);

        /** Returns whether this entry, among those that respond, is the one that retries a quarantined request. */
        boolean retriesHere(RequestFingerprint request, Moment now);
    }

    CrashGuard(
            FleetTable fleet,
            EnginePort engines,
            GatewayClock clock,
            EventLog log,
            GatewayMetrics metrics,
            RandomGenerator random) {
        this.fleet = fleet;
        this.engines = engines;
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
        this.random = random;
    }

    void peers(Peers newPeers) {
        peers = newPeers;
    }

    /** Returns the time after which a quarantined request may be retried; empty if the request may be sent now. */
    Optional<Duration> quarantinedFor(Supplier<RequestFingerprint> request, Moment now) {
        if (!investigating && !tracking) {
            return Optional.empty();
        }
        RequestFingerprint f = request.get();
        synchronized (this) {
            return quarantine.quarantinedFor(
                    f, detector.unresolvedFailureDomains(f), () -> peers.retriesHere(f, now), now);
        }
    }

    /**
     * Returns the time after which a quarantined request may be retried, or empty if it may be sent now; in this case
     * the attempt is recorded.
     */
    Optional<Duration> trySend(Supplier<RequestFingerprint> request, Moment now) {
        if (!investigating && !tracking) {
            return Optional.empty();
        }
        RequestFingerprint f = request.get();
        synchronized (this) {
            Optional<Duration> wait = quarantine.quarantinedFor(
                    f, detector.unresolvedFailureDomains(f), () -> peers.retriesHere(f, now), now);
            if (wait.isEmpty()) {
                quarantine.recordAttempt(f, now);
            }
            return wait;
        }
    }

    /** Records that a request got a complete response, and broadcasts it if crashes of the request were known. */
    void served(Supplier<RequestFingerprint> request, Moment now) {
        if (!investigating && !tracking) {
            return;
        }
        RequestFingerprint f = request.get();
        boolean released;
        synchronized (this) {
            detector.requestServed(f);
            investigating = !detector.isEmpty();
            released = quarantine.recordSuccess(f, now, now);
        }
        if (released) {
            log.write("crash", "request completed without crashing its server", "fingerprint", f);
            peers.broadcast(List.of(new PeerMessage.CrashNotice(f, "", "", 0)));
        }
    }

    /** Applies crash notices of another entry; malformed ones are ignored. */
    void receive(List<PeerMessage.CrashNotice> notices) {
        for (PeerMessage.CrashNotice n : notices) {
            try {
                receive(n, clock.now());
            } catch (IllegalArgumentException e) {
                LOGGER.log(Level.DEBUG, "ignored a crash notice without a valid server: {0}", n);
            }
        }
    }

    private void receive(PeerMessage.CrashNotice n, Moment now) {
        Moment at = now.minus(Duration.ofMillis(Math.max(0, n.ageMillis())));
        if (n.server().isEmpty()) {
            synchronized (this) {
                quarantine.recordSuccess(n.request(), at, now);
            }
        } else {
            BackendServer.Lifetime server = BackendServer.Lifetime.parse(n.server());
            recordCrash(new Crash(n.request(), server, n.failureDomain()), at, now, "another entry");
        }
    }

    /** Returns the crashes of the requests that this entry has in quarantine. */
    synchronized List<PeerMessage.CrashNotice> quarantineNotices(Moment now) {
        List<PeerMessage.CrashNotice> result = new ArrayList<>();
        quarantine.quarantinedCrashes(now).forEach((c, at) -> result.add(notice(c, at, now)));
        return result;
    }

    private static PeerMessage.CrashNotice notice(Crash c, Moment at, Moment now) {
        return new PeerMessage.CrashNotice(
                c.request(), c.server().format(), c.failureDomain(), now.monotonicMillisSince(at));
    }

    /** Returns a digest that is equal at entries that quarantine the same requests; 0 if there are none. */
    long digest(Moment now) {
        if (!tracking) {
            return 0;
        }
        synchronized (this) {
            return quarantine.digest(now);
        }
    }

    /** Removes crashes that are too old to count. */
    void expire(Moment now) {
        if (!tracking) {
            return;
        }
        synchronized (this) {
            quarantine.expire(now);
            tracking = !quarantine.isEmpty();
        }
    }

    /**
     * Records that a server broke a request. A server that is draining or not listed is shutting down as planned and is
     * not suspected.
     *
     * @param sharedParts the parts of its prompt that other requests may share
     * @param answering whether the server had begun to answer the request
     */
    void requestBroken(
            RequestFingerprint request,
            List<PromptPart> sharedParts,
            boolean answering,
            String requestId,
            BackendServer server,
            Moment now) {
        boolean serving = fleet.isServing(server.lifetime());
        log.write(
                "broken-off",
                serving ? "server will be probed" : "server was draining",
                "request",
                requestId,
                "fingerprint",
                request,
                "parts",
                sharedParts,
                "answering",
                answering,
                "server",
                server.id(),
                "born",
                server.bornMillis());
        metrics.brokenRequests();
        if (!serving) {
            return;
        }
        synchronized (this) {
            detector.requestBroken(request, server, now);
            investigating = true;
        }
    }

    /** Records that a part of a response was received from a server. */
    void answerReceived(BackendServer server, Moment now) {
        if (!investigating) {
            return;
        }
        synchronized (this) {
            detector.answerReceived(server.lifetime(), now);
            investigating = !detector.isEmpty();
        }
    }

    /** Evaluates a new list of backend servers: a later start of a server proves that it had crashed. */
    void serversListed() {
        if (!investigating) {
            return;
        }
        Map<Crash, Moment> proven;
        synchronized (this) {
            proven = detector.serversListed(fleet.servers());
            investigating = !detector.isEmpty();
        }
        reportCrashes(proven, "a later start of it is listed");
    }

    /** Sends the liveness probes that are due. */
    void tick(Moment now) {
        if (!investigating) {
            return;
        }
        List<BackendServer> due;
        synchronized (this) {
            due = detector.dueProbes(now);
            investigating = !detector.isEmpty();
        }
        due.forEach(this::probe);
    }

    private void probe(BackendServer server) {
        Moment probedAt = clock.now();
        liveness(server).thenAccept(answer -> {
            log.write("liveness", "probed because it broke requests", "server", server.id(), "answer", answer);
            if (answer == Liveness.ENDED && !isCorroborated(server)) {
                corroborate(server, probedAt);
            } else {
                probeCompleted(server, answer, probedAt);
            }
        });
    }

    private CompletableFuture<Liveness> liveness(BackendServer server) {
        return engines.probeLiveness(server, healthPath(server), PROBE_TIMEOUT);
    }

    private synchronized boolean isCorroborated(BackendServer server) {
        return detector.isCorroborated(server.lifetime());
    }

    /** Probes another server before a crash is accepted, because this entry may be disconnected from the network. */
    private void corroborate(BackendServer server, Moment probedAt) {
        List<BackendServer> candidates;
        synchronized (this) {
            candidates = detector.corroborationCandidates(server, fleet.servers());
        }
        if (candidates.isEmpty()) {
            return;
        }
        BackendServer reference = candidates.get(random.nextInt(candidates.size()));
        liveness(reference).thenAccept(answer -> {
            log.write("liveness", "corroborating probe", "server", reference.id(), "answer", answer);
            if (answer == Liveness.RUNNING) {
                answerReceived(reference, clock.now());
                probeCompleted(server, Liveness.ENDED, probedAt);
            }
        });
    }

    private void probeCompleted(BackendServer server, Liveness answer, Moment probedAt) {
        Map<Crash, Moment> proven;
        synchronized (this) {
            proven = detector.probeCompleted(server.lifetime(), answer, probedAt);
            investigating = !detector.isEmpty();
        }
        reportCrashes(proven, "found by a probe");
    }

    private String healthPath(BackendServer server) {
        return fleet.configuration()
                .flatMap(c -> c.service(server.service()))
                .map(FleetService::healthPath)
                .orElse("/");
    }

    private void reportCrashes(Map<Crash, Moment> proven, String cause) {
        if (proven.isEmpty()) {
            return;
        }
        Moment now = clock.now();
        List<PeerMessage.CrashNotice> notices = new ArrayList<>();
        proven.forEach((c, at) -> {
            log.write(
                    "crash",
                    "server crashed while running the request: " + cause,
                    "fingerprint",
                    c.request(),
                    "server",
                    c.server().id(),
                    "born",
                    c.server().bornMillis());
            recordCrash(c, at, now, "this entry");
            notices.add(notice(c, at, now));
        });
        metrics.crashed(proven.size());
        peers.broadcast(notices);
    }

    private void recordCrash(Crash c, Moment at, Moment now, String source) {
        boolean quarantined;
        synchronized (this) {
            quarantined = quarantine.recordCrash(c, at, now);
            tracking = true;
        }
        if (quarantined) {
            log.write(
                    "turned-away",
                    "servers crashed each time that they ran the request",
                    "fingerprint",
                    c.request(),
                    "crashes",
                    RequestQuarantine.QUARANTINE_CRASHES,
                    "source",
                    source);
        }
    }
}
