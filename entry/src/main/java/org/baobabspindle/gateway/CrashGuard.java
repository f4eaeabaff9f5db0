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
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;
import org.baobabspindle.core.crash.Crash;
import org.baobabspindle.core.crash.CrashCause;
import org.baobabspindle.core.crash.CrashDetector;
import org.baobabspindle.core.crash.RequestQuarantine;
import org.baobabspindle.core.crash.SuspectRequest;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.Liveness;
import org.baobabspindle.core.id.PromptPart;
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

    /** The expected number of entries that tell of their answers with a prompt part after its first crash. */
    private static final int EXPECTED_PROOFS = 8;

    private final FleetTable fleet;
    private final EnginePort engines;
    private final GatewayClock clock;
    private final EventLog log;
    private final GatewayMetrics metrics;
    private final RandomGenerator random;
    private final CrashDetector detector = new CrashDetector();
    private final RequestQuarantine quarantine = new RequestQuarantine();
    private volatile CrashPeers peers = CrashPeers.NONE;
    private volatile boolean investigating;
    private volatile boolean tracking;
    private volatile boolean partitioned;

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

    /** This entry is partitioned from the backend servers; that they broke off requests shows nothing until it ends. */
    void partitionBegan() {
        synchronized (this) {
            partitioned = true;
            detector.forgetUncorroborated();
            investigating = !detector.isEmpty();
        }
    }

    /** This entry reaches the backend servers again. */
    void partitionEnded() {
        partitioned = false;
    }

    void peers(CrashPeers newPeers) {
        peers = newPeers;
    }

    /** Returns the time after which a quarantined request may be retried; empty if the request may be sent now. */
    Optional<Duration> quarantinedFor(Supplier<SuspectRequest> request, Moment now) {
        if (!investigating && !tracking) {
            return Optional.empty();
        }
        SuspectRequest suspect = request.get();
        synchronized (this) {
            return quarantinedFor(suspect, c -> detector.unresolvedFailureDomains(c, now), now);
        }
    }

    private Optional<Duration> quarantinedFor(
            SuspectRequest suspect, ToIntFunction<CrashCause> unresolved, Moment now) {
        return quarantine.quarantinedFor(suspect, unresolved, c -> peers.retriesHere(c, now), now);
    }

    /**
     * Returns whether a request is quarantined only until it is known whether a server that broke off requests with a
     * part of its prompt has crashed.
     */
    boolean awaitsInvestigation(Supplier<SuspectRequest> request, Moment now) {
        if (!investigating) {
            return false;
        }
        SuspectRequest suspect = request.get();
        synchronized (this) {
            ToIntFunction<CrashCause> all = c -> detector.unresolvedFailureDomains(c, now);
            ToIntFunction<CrashCause> withoutParts = c -> c.isPromptPart() ? 0 : all.applyAsInt(c);
            return quarantinedFor(suspect, all, now).isPresent()
                    && quarantinedFor(suspect, withoutParts, now).isEmpty();
        }
    }

    /**
     * Returns the time after which a quarantined request may be retried, or empty if it may be sent now; in this case
     * the attempt is recorded.
     */
    Optional<Duration> trySend(Supplier<SuspectRequest> request, Moment now) {
        if (!investigating && !tracking) {
            return Optional.empty();
        }
        SuspectRequest suspect = request.get();
        synchronized (this) {
            Optional<Duration> wait = quarantinedFor(suspect, c -> detector.unresolvedFailureDomains(c, now), now);
            if (wait.isEmpty()) {
                quarantine.recordAttempt(suspect, now);
            }
            return wait;
        }
    }

    /**
     * Records that a request got a complete response, and broadcasts it if crashes were known of the request or of a
     * part of its prompt.
     *
     * @param answeredParts the shared parts of its prompt if the server succeeded, which shows that they are harmless
     */
    void served(Supplier<SuspectRequest> request, List<PromptPart> answeredParts, Moment now) {
        List<CrashCause> answered = new ArrayList<>();
        answeredParts.forEach(p -> answered.add(CrashCause.of(p)));
        if (investigating || tracking) {
            answered.add(CrashCause.of(request.get().fingerprint()));
        }
        if (answered.isEmpty()) {
            return;
        }
        List<CrashCause> released;
        synchronized (this) {
            detector.requestServed(answered);
            investigating = !detector.isEmpty();
            released = answered.stream()
                    .filter(c -> quarantine.recordSuccess(c, now, now))
                    .toList();
        }
        if (!released.isEmpty()) {
            released.forEach(
                    c -> log.write("crash", "request completed without crashing its server", logField(c), c.id()));
            peers.broadcast(
                    released.stream().map(c -> answerNotice(c, now, now)).toList());
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
                quarantine.recordSuccess(n.cause(), at, now);
            }
        } else {
            BackendServer.Lifetime server = BackendServer.Lifetime.parse(n.server());
            recordCrash(new Crash(n.cause(), server, n.failureDomain()), at, now, "another entry");
        }
    }

    /** Returns the crashes that other entries must know, after the answers that speak for their prompt parts. */
    synchronized List<PeerMessage.CrashNotice> quarantineNotices(Moment now) {
        List<PeerMessage.CrashNotice> result = new ArrayList<>();
        quarantine.proofs(now).forEach((c, at) -> result.add(answerNotice(c, at, now)));
        quarantine.sharedCrashes(now).forEach((c, at) -> result.add(notice(c, at, now)));
        return result;
    }

    private static String logField(CrashCause cause) {
        return cause.isPromptPart() ? "part" : "fingerprint";
    }

    private static PeerMessage.CrashNotice answerNotice(CrashCause cause, Moment at, Moment now) {
        return new PeerMessage.CrashNotice(cause, "", "", now.monotonicMillisSince(at));
    }

    private static PeerMessage.CrashNotice notice(Crash c, Moment at, Moment now) {
        return new PeerMessage.CrashNotice(
                c.cause(), c.server().format(), c.failureDomain(), now.monotonicMillisSince(at));
    }

    /** Returns a digest that is equal at entries that know the same shared crashes; 0 if there are none. */
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
     * not suspected, nor is one that this entry does not reach.
     *
     * @param answering whether the server had begun to answer the request
     */
    void requestBroken(SuspectRequest request, boolean answering, String requestId, BackendServer server, Moment now) {
        boolean suspected = !partitioned && fleet.isServing(server.lifetime());
        log.write(
                "broken-off",
                suspected ? "server will be probed" : "server was draining or cannot be reached",
                "request",
                requestId,
                "fingerprint",
                request.fingerprint(),
                "parts",
                request.sharedParts(),
                "answering",
                answering,
                "server",
                server.id(),
                "born",
                server.bornMillis());
        metrics.brokenRequests();
        if (!suspected) {
            return;
        }
        synchronized (this) {
            detector.requestBroken(request.causesOfBreak(answering), server, now);
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
        return engines.probeLiveness(server, fleet.healthPath(server), PROBE_TIMEOUT);
    }

    /**
     * Determines whether an answer without framing may be cut, because its server ended with the connection: a killed
     * process closes its connections as one does whose answer is whole. A server that is known to leave may stop
     * listening before its last answers are whole, so that only those that can be resumed are doubted. A probe without an
     * answer is repeated, as the process may be just ending, or this entry may not have been scheduled.
     *
     * @param resumable whether the answer goes on after its last event if the request is sent again
     */
    CompletableFuture<Boolean> mayBeCut(BackendServer server, boolean resumable) {
        if (fleet.isReplaced(server.lifetime())) {
            return CompletableFuture.completedFuture(true);
        }
        if (partitioned || (!resumable && !fleet.isServing(server.lifetime()))) {
            return CompletableFuture.completedFuture(false);
        }
        return liveness(server)
                .thenCompose(
                        first -> first == Liveness.SILENT ? liveness(server) : CompletableFuture.completedFuture(first))
                .thenApply(answer -> {
                    log.write(
                            "liveness",
                            "probed after an answer without framing",
                            "server",
                            server.id(),
                            "answer",
                            answer);
                    return answer == Liveness.ENDED || (resumable && answer == Liveness.SILENT);
                });
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
                    logField(c.cause()),
                    c.cause().id(),
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
        int crashes;
        Optional<Moment> proof;
        synchronized (this) {
            quarantined = quarantine.recordCrash(c, at, now);
            crashes = quarantine.crashCount(c.cause(), now);
            proof = quarantine.takeProof(c.cause(), now);
            tracking = true;
        }
        proof.filter(p -> random.nextInt(peers.entries()) < EXPECTED_PROOFS)
                .ifPresent(p -> peers.broadcast(List.of(answerNotice(c.cause(), p, now))));
        if (quarantined) {
            log.write(
                    "turned-away",
                    "servers crashed each time that they ran it",
                    logField(c.cause()),
                    c.cause().id(),
                    "crashes",
                    crashes,
                    "source",
                    source);
        }
    }
}
