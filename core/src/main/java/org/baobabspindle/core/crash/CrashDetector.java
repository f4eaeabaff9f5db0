package org.baobabspindle.core.crash;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.Liveness;
import org.baobabspindle.core.time.Moment;

/**
 * Determines whether backend servers that broke off requests have crashed. A broken connection alone proves nothing,
 * because healthy servers lose answers, too. This distinguishes a request that crashes every server that runs it from
 * the many requests whose answers are merely lost.
 */
public final class CrashDetector {
    /** The delay before the first probe, in which other requests of the server may prove that it is running. */
    private static final Duration FIRST_PROBE_DELAY = Duration.ofMillis(150);

    /** The maximum time after a crash at which data that the server sent before it may still arrive. */
    private static final Duration MAX_DATA_DELAY = Duration.ofMillis(100);

    /** The delay after the first unanswered probe; it doubles with each further probe. */
    private static final Duration PROBE_RETRY_DELAY = Duration.ofMillis(200);

    /**
     * The maximum number of probes, sent within about 6 s; afterwards only the list of backend servers can prove a
     * crash.
     */
    private static final int MAX_PROBES = 6;

    /**
     * How long an unresolved suspicion counts against a prompt part; a server that ends by itself is found out sooner, and
     * harmless requests share the part.
     */
    private static final Duration PART_SUSPICION = Duration.ofSeconds(1);

    /** How long a suspicion is kept; by then a crashed server has restarted and is listed again. */
    private static final Duration SUSPICION_LIFETIME = Duration.ofSeconds(15);

    private final Map<BackendServer.Lifetime, Suspicion> suspicions = new HashMap<>();

    /** Servers that have crashed and may still be listed, with the time of the probe that proved it. */
    private final Map<BackendServer.Lifetime, Moment> crashed = new HashMap<>();

    /** Creates a detector without suspicions. */
    public CrashDetector() {}

    private static final class Suspicion {
        private final BackendServer server;
        private final Map<CrashCause, Moment> brokenAt = new LinkedHashMap<>();
        private Moment nextProbeAt;
        private int probes;
        private boolean corroborated;

        Suspicion(BackendServer server, Moment nextProbeAt) {
            this.server = server;
            this.nextProbeAt = nextProbeAt;
        }

        private Map<Crash, Moment> crashes() {
            Map<Crash, Moment> result = new LinkedHashMap<>();
            brokenAt.forEach((cause, at) -> result.put(Crash.of(cause, server), at));
            return result;
        }
    }

    /**
     * Records that a backend server broke off a request.
     *
     * @param causes what in the request may have crashed the server
     * @param server the backend server
     * @param now the present time
     */
    public void requestBroken(Collection<CrashCause> causes, BackendServer server, Moment now) {
        Suspicion suspicion =
                suspicions.computeIfAbsent(server.lifetime(), l -> new Suspicion(server, now.plus(FIRST_PROBE_DELAY)));
        causes.forEach(cause -> suspicion.brokenAt.put(cause, now));
        suspicion.corroborated = false;
    }

    /**
     * Returns the backend servers to probe now.
     *
     * @param now the present time
     * @return the backend servers; each is returned again after a growing delay, up to the maximum number of probes,
     *     until a result resolves the suspicion
     */
    public List<BackendServer> dueProbes(Moment now) {
        crashed.values().removeIf(at -> now.since(at).compareTo(SUSPICION_LIFETIME) > 0);
        List<BackendServer> due = new ArrayList<>();
        for (Iterator<Suspicion> i = suspicions.values().iterator(); i.hasNext(); ) {
            Suspicion suspicion = i.next();
            suspicion.brokenAt.values().removeIf(at -> now.since(at).compareTo(SUSPICION_LIFETIME) > 0);
            if (suspicion.brokenAt.isEmpty()) {
                i.remove();
            } else if (suspicion.probes < MAX_PROBES && !now.isBefore(suspicion.nextProbeAt)) {
                suspicion.nextProbeAt = now.plus(PROBE_RETRY_DELAY.multipliedBy(1L << suspicion.probes));
                suspicion.probes++;
                due.add(suspicion.server);
            }
        }
        return due;
    }

    /**
     * Returns whether data of another backend server has arrived since a server broke off requests. Without such
     * corroboration this entry itself may be disconnected.
     *
     * @param server the lifetime of the suspected backend server
     * @return whether another server has shown that this entry is connected
     */
    public boolean isCorroborated(BackendServer.Lifetime server) {
        Suspicion suspicion = suspicions.get(server);
        return suspicion != null && suspicion.corroborated;
    }

    /**
     * Returns the backend servers to which a corroborating probe can be sent: servers of the same service that are not
     * suspected themselves, limited to the same availability zone if it has any.
     *
     * @param server the suspected backend server
     * @param listed the backend servers that are listed
     * @return the candidates
     */
    public List<BackendServer> corroborationCandidates(BackendServer server, Collection<BackendServer> listed) {
        List<BackendServer> healthy = listed.stream()
                .filter(s -> s.ready() && s.service().equals(server.service()))
                .filter(s -> !suspicions.containsKey(s.lifetime()) && !crashed.containsKey(s.lifetime()))
                .toList();
        List<BackendServer> sameZone =
                healthy.stream().filter(s -> s.zone().equals(server.zone())).toList();
        return sameZone.isEmpty() ? healthy : sameZone;
    }

    /**
     * Evaluates the result of a probe. A refused connection without corroboration proves nothing.
     *
     * @param server the lifetime of the backend server that was probed
     * @param liveness the result of the probe
     * @param probedAt when the probe was sent
     * @return the crashes that this proves, and when each happened
     */
    public Map<Crash, Moment> probeCompleted(BackendServer.Lifetime server, Liveness liveness, Moment probedAt) {
        Suspicion suspicion = suspicions.get(server);
        if (suspicion == null) {
            return Map.of();
        }
        if (liveness == Liveness.RUNNING) {
            confirmRunning(suspicion, probedAt);
        }
        if (liveness != Liveness.ENDED || !suspicion.corroborated) {
            return Map.of();
        }
        suspicions.remove(server);
        crashed.put(server, probedAt);
        return suspicion.crashes();
    }

    /**
     * Records that a part of an answer has arrived from a backend server.
     *
     * @param server the lifetime of the backend server
     * @param now the present time
     */
    public void answerReceived(BackendServer.Lifetime server, Moment now) {
        Moment sentAfter = now.minus(MAX_DATA_DELAY);
        for (Suspicion suspicion : suspicions.values()) {
            boolean brokeBefore = suspicion.brokenAt.values().stream().allMatch(broken -> broken.isBefore(sentAfter));
            suspicion.corroborated |=
                    brokeBefore && !suspicion.server.lifetime().equals(server);
        }
        Suspicion suspicion = suspicions.get(server);
        if (suspicion != null) {
            confirmRunning(suspicion, sentAfter);
        }
    }

    /**
     * Records that a request was answered completely, which shows what crashed no server.
     *
     * @param causes the causes that this excludes
     */
    public void requestServed(Collection<CrashCause> causes) {
        suspicions.values().forEach(suspicion -> suspicion.brokenAt.keySet().removeAll(causes));
        suspicions.values().removeIf(suspicion -> suspicion.brokenAt.isEmpty());
    }

    /**
     * Forgets the requests that broke off without a sign that this entry is connected. Called when this entry turns out to
     * be partitioned from the backend servers, which is why they broke off.
     */
    public void forgetUncorroborated() {
        suspicions.values().removeIf(suspicion -> !suspicion.corroborated);
    }

    /**
     * Drops the requests that broke off before a time at which the server was running; probing restarts for later ones.
     */
    private void confirmRunning(Suspicion suspicion, Moment at) {
        suspicion.brokenAt.values().removeIf(broken -> broken.isBefore(at));
        if (suspicion.brokenAt.isEmpty()) {
            suspicions.remove(suspicion.server.lifetime());
        } else {
            suspicion.probes = 0;
        }
    }

    /**
     * Evaluates the list of backend servers. A later lifetime with the id or the address of a server proves that it
     * crashed. Its absence proves nothing, because it may be disconnected from the store.
     *
     * @param servers the backend servers
     * @return the crashes that this proves, and when each happened
     */
    public Map<Crash, Moment> serversListed(Collection<BackendServer> servers) {
        Map<Crash, Moment> proven = new LinkedHashMap<>();
        for (Iterator<Suspicion> i = suspicions.values().iterator(); i.hasNext(); ) {
            Suspicion suspicion = i.next();
            if (servers.stream().anyMatch(s -> replaces(s, suspicion.server))) {
                proven.putAll(suspicion.crashes());
                i.remove();
            }
        }
        return proven;
    }

    private static boolean replaces(BackendServer later, BackendServer server) {
        boolean sameAddress = later.host().equals(server.host()) && later.port() == server.port();
        return later.bornMillis() > server.bornMillis()
                && (sameAddress || later.id().equals(server.id()));
    }

    /**
     * Returns the number of failure domains with a backend server that broke off a request and is proven neither to be
     * running nor to have crashed.
     *
     * @param cause what in the request may have crashed the server
     * @param now the present time
     * @return the number of failure domains
     */
    public int unresolvedFailureDomains(CrashCause cause, Moment now) {
        Duration counted = cause.isPromptPart() ? PART_SUSPICION : SUSPICION_LIFETIME;
        return (int) suspicions.values().stream()
                .filter(suspicion -> suspicion.brokenAt.containsKey(cause)
                        && now.since(suspicion.brokenAt.get(cause)).compareTo(counted) <= 0)
                .map(suspicion -> suspicion.server.failureDomain())
                .distinct()
                .count();
    }

    /**
     * Returns whether no backend server is suspected.
     *
     * @return whether there are no suspicions
     */
    public boolean isEmpty() {
        return suspicions.isEmpty();
    }
}
