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
import org.baobabspindle.core.id.RequestFingerprint;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.logging.EventLog;
import org.baobabspindle.peer.PeerMessage;
import org.baobabspindle.port.EnginePort;

/**
 * Turns requests away that end the backend servers that run them: finds out which requests were running at servers that ended, and
 * shares that with the other entries. Its lock is taken before those of the fleet table and the mesh of entries, and after all others.
 */
final class CrashGuard {
    private static final Logger LOGGER = System.getLogger(CrashGuard.class.getName());

    /** The wait for the answer to a question; a silent server is asked again. */
    private static final Duration QUESTION_TIMEOUT = SuspectGroupProber.PROBE_TIMEOUT;

    private final FleetTable fleet;
    private final EnginePort engines;
    private final GatewayClock clock;
    private final EventLog log;
    private final GatewayMetrics metrics;
    private final RandomGenerator random;
    private final CrashDetector evidence = new CrashDetector();
    private final RequestQuarantine ledger = new RequestQuarantine();
    private volatile Peers peers = Peers.NONE;
    private volatile boolean inquiring;
    private volatile boolean remembering;

    /** The other entries. */
    interface Peers {
        Peers NONE = new Peers() {
            @Override
            public void broadcast(List<PeerMessage.CrashNotice> notices) {
                // There is nobody to tell.
            }

            @Override
            public boolean retriesHere(RequestFingerprint request, Moment now) {
                return true;
            }
        };

        /** Tells them what this entry has noticed. */
        void broadcast(List<PeerMessage.CrashNotice> notices);

        /** Returns whether it is this entry, among those that answer, that tries a request again. */
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

    void peers(Peers newOthers) {
        peers = newOthers;
    }

    /** Returns when a request may come back that is not to be sent to a server; empty if it may be sent. */
    Optional<Duration> quarantinedFor(Supplier<RequestFingerprint> request, Moment now) {
        if (!inquiring && !remembering) {
            return Optional.empty();
        }
        RequestFingerprint f = request.get();
        synchronized (this) {
            return ledger.quarantinedFor(f, evidence.unresolvedFailureDomains(f), () -> peers.retriesHere(f, now), now);
        }
    }

    /** Asks the same for a request that is about to be sent, and notes that it is. */
    Optional<Duration> trySend(Supplier<RequestFingerprint> request, Moment now) {
        if (!inquiring && !remembering) {
            return Optional.empty();
        }
        RequestFingerprint f = request.get();
        synchronized (this) {
            Optional<Duration> wait = ledger.quarantinedFor(
                    f, evidence.unresolvedFailureDomains(f), () -> peers.retriesHere(f, now), now);
            if (wait.isEmpty()) {
                ledger.recordAttempt(f, now);
            }
            return wait;
        }
    }

    /** Notes that a request was answered whole. */
    void served(Supplier<RequestFingerprint> request, Moment now) {
        if (!inquiring && !remembering) {
            return;
        }
        RequestFingerprint f = request.get();
        boolean news;
        synchronized (this) {
            evidence.requestServed(f);
            inquiring = !evidence.isEmpty();
            news = ledger.recordSuccess(f, now, now);
        }
        if (news) {
            log.write("crash", "the request was answered whole and has crashed nothing", "fingerprint", f);
            peers.broadcast(List.of(new PeerMessage.CrashNotice(f, "", "", 0)));
        }
    }

    /** Takes over what another entry has noticed. */
    void receive(List<PeerMessage.CrashNotice> notices) {
        for (PeerMessage.CrashNotice n : notices) {
            try {
                receive(n, clock.now());
            } catch (IllegalArgumentException e) {
                LOGGER.log(Level.DEBUG, "a notice of another entry names no server: {0}", n);
            }
        }
    }

    private void receive(PeerMessage.CrashNotice n, Moment now) {
        Moment at = now.minus(Duration.ofMillis(Math.max(0, n.ageMillis())));
        if (n.server().isEmpty()) {
            synchronized (this) {
                ledger.recordSuccess(n.request(), at, now);
            }
        } else {
            BackendServer.Lifetime server = BackendServer.Lifetime.parse(n.server());
            note(new Crash(n.request(), server, n.failureDomain()), at, now, "another entry");
        }
    }

    /** Returns the crashes of the requests that this entry turns away. */
    synchronized List<PeerMessage.CrashNotice> quarantineNotices(Moment now) {
        List<PeerMessage.CrashNotice> result = new ArrayList<>();
        ledger.quarantinedCrashes(now).forEach((c, at) -> result.add(notice(c, at, now)));
        return result;
    }

    private static PeerMessage.CrashNotice notice(Crash c, Moment at, Moment now) {
        return new PeerMessage.CrashNotice(
                c.request(), c.server().format(), c.failureDomain(), now.monotonicMillisSince(at));
    }

    /** Returns a number that is the same at entries that turn the same requests away. */
    long digest(Moment now) {
        if (!remembering) {
            return 0;
        }
        synchronized (this) {
            return ledger.digest(now);
        }
    }

    /** Forgets what is too old to count. */
    void expire(Moment now) {
        if (!remembering) {
            return;
        }
        synchronized (this) {
            ledger.expire(now);
            remembering = !ledger.isEmpty();
        }
    }

    /** Notes that a server broke a request off. One that is about to leave, or is not listed, ends as planned. */
    void requestBroken(RequestFingerprint request, String requestId, BackendServer server, Moment now) {
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
            evidence.requestBroken(request, server, now);
            inquiring = true;
        }
    }

    /** Notes that a piece of an answer has come from a server. */
    void answerReceived(BackendServer server, Moment now) {
        if (!inquiring) {
            return;
        }
        synchronized (this) {
            evidence.answerReceived(server.lifetime(), now);
            inquiring = !evidence.isEmpty();
        }
    }

    /** Takes over the list of backend servers. */
    void serversListed() {
        if (!inquiring) {
            return;
        }
        Map<Crash, Moment> proven;
        synchronized (this) {
            proven = evidence.serversListed(fleet.servers());
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
            due = evidence.dueProbes(now);
            inquiring = !evidence.isEmpty();
        }
        due.forEach(this::ask);
    }

    private void ask(BackendServer server) {
        Moment askedAt = clock.now();
        liveness(server).thenAccept(answer -> {
            log.write("liveness", "asked because it broke requests off", "server", server.id(), "answer", answer);
            if (answer == Liveness.ENDED && !witnessed(server)) {
                askWitness(server, askedAt);
            } else {
                settle(server, answer, askedAt);
            }
        });
    }

    private CompletableFuture<Liveness> liveness(BackendServer server) {
        return engines.liveness(server, healthPath(server), QUESTION_TIMEOUT);
    }

    private synchronized boolean witnessed(BackendServer server) {
        return evidence.isCorroborated(server.lifetime());
    }

    /** Asks another server before an end is believed, because this entry may be cut off. */
    private void askWitness(BackendServer server, Moment askedAt) {
        List<BackendServer> candidates;
        synchronized (this) {
            candidates = evidence.corroborationCandidates(server, fleet.servers());
        }
        if (candidates.isEmpty()) {
            return;
        }
        BackendServer witness = candidates.get(random.nextInt(candidates.size()));
        liveness(witness).thenAccept(answer -> {
            log.write("liveness", "asked as a witness", "server", witness.id(), "answer", answer);
            if (answer == Liveness.RUNNING) {
                answerReceived(witness, clock.now());
                settle(server, Liveness.ENDED, askedAt);
            }
        });
    }

    private void settle(BackendServer server, Liveness answer, Moment askedAt) {
        Map<Crash, Moment> proven;
        synchronized (this) {
            proven = evidence.probeCompleted(server.lifetime(), answer, askedAt);
            inquiring = !evidence.isEmpty();
        }
        crashed(proven, "it was asked");
    }

    private String healthPath(BackendServer server) {
        return fleet.configuration()
                .flatMap(c -> c.service(server.service()))
                .map(FleetService::healthPath)
                .orElse("/");
    }

    private void crashed(Map<Crash, Moment> proven, String why) {
        if (proven.isEmpty()) {
            return;
        }
        Moment now = clock.now();
        List<PeerMessage.CrashNotice> notices = new ArrayList<>();
        proven.forEach((c, at) -> {
            log.write(
                    "crash",
                    "the server ended while it ran the request: " + why,
                    "fingerprint",
                    c.request(),
                    "server",
                    c.server().id(),
                    "born",
                    c.server().bornMillis());
            note(c, at, now, "this entry");
            notices.add(notice(c, at, now));
        });
        metrics.crashed(proven.size());
        peers.broadcast(notices);
    }

    private void note(Crash c, Moment at, Moment now, String source) {
        boolean begins;
        synchronized (this) {
            begins = ledger.recordCrash(c, at, now);
            remembering = true;
        }
        if (begins) {
            log.write(
                    "turned-away",
                    "servers have ended each time that they ran the request",
                    "fingerprint",
                    c.request(),
                    "crashes",
                    RequestQuarantine.QUARANTINE_CRASHES,
                    "source",
                    source);
        }
    }
}
