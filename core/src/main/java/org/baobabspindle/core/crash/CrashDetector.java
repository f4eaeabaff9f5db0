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
import org.baobabspindle.core.id.RequestFingerprint;
import org.baobabspindle.core.time.Moment;

/**
 * Finds out whether backend servers that broke requests off have ended. A broken connection alone proves nothing: sound
 * servers lose answers, too. Answers a request that ends each server that runs it, among many whose answers get lost.
 */
public final class CrashDetector {
    /** How long the other requests of a server may prove that it runs before it is asked. */
    private static final Duration BEFORE_ASKING = Duration.ofMillis(150);

    /** Bytes that a server sent before it ended may be read for this long afterwards. */
    private static final Duration STILL_ON_THE_WAY = Duration.ofMillis(100);

    /** The pause after the first question without an answer; it doubles with each further one. */
    private static final Duration FIRST_PAUSE = Duration.ofMillis(200);

    /** The questions after which only the list of backend servers tells; some six seconds after the first. */
    private static final int MOST_QUESTIONS = 6;

    /** A server that crashed has started and is listed again by then. */
    private static final Duration KEPT_OPEN = Duration.ofSeconds(15);

    private final Map<BackendServer.Lifetime, Inquiry> inquiries = new HashMap<>();

    /** Servers that have ended and may still be listed. */
    private final Map<BackendServer.Lifetime, Moment> ended = new HashMap<>();

    /** Creates an object that inquires about no server. */
    public CrashDetector() {}

    private static final class Inquiry {
        private final BackendServer server;
        private final Map<RequestFingerprint, Moment> brokenAt = new LinkedHashMap<>();
        private Moment askAt;
        private int questions;
        private boolean witnessed;

        Inquiry(BackendServer server, Moment askAt) {
            this.server = server;
            this.askAt = askAt;
        }

        private Map<Crash, Moment> crashes() {
            Map<Crash, Moment> result = new LinkedHashMap<>();
            brokenAt.forEach((request, at) -> result.put(Crash.of(request, server), at));
            return result;
        }
    }

    /**
     * Notes that a backend server broke a request off.
     *
     * @param request the request
     * @param server the backend server
     * @param now the present time
     */
    public void requestBroken(RequestFingerprint request, BackendServer server, Moment now) {
        Inquiry q = inquiries.computeIfAbsent(server.lifetime(), l -> new Inquiry(server, now.plus(BEFORE_ASKING)));
        q.brokenAt.put(request, now);
        q.witnessed = false;
    }

    /**
     * Returns the backend servers to ask now whether they run.
     *
     * @param now the present time
     * @return the backend servers; each is returned again after a pause until an answer settles it
     */
    public List<BackendServer> dueProbes(Moment now) {
        ended.values().removeIf(at -> now.since(at).compareTo(KEPT_OPEN) > 0);
        List<BackendServer> due = new ArrayList<>();
        for (Iterator<Inquiry> i = inquiries.values().iterator(); i.hasNext(); ) {
            Inquiry q = i.next();
            q.brokenAt.values().removeIf(at -> now.since(at).compareTo(KEPT_OPEN) > 0);
            if (q.brokenAt.isEmpty()) {
                i.remove();
            } else if (q.questions < MOST_QUESTIONS && !now.isBefore(q.askAt)) {
                q.askAt = now.plus(FIRST_PAUSE.multipliedBy(1L << q.questions));
                q.questions++;
                due.add(q.server);
            }
        }
        return due;
    }

    /**
     * Tells whether another backend server has been heard from since a server broke requests off. Without such a witness this entry
     * may itself be cut off.
     *
     * @param server the backend server
     * @return whether there is a witness
     */
    public boolean isCorroborated(BackendServer.Lifetime server) {
        Inquiry q = inquiries.get(server);
        return q != null && q.witnessed;
    }

    /**
     * Returns the backend servers that can be asked to witness the end of another: those of its service that are not in doubt
     * themselves, in its availability zone if there are any.
     *
     * @param server the backend server
     * @param listed the backend servers that are listed
     * @return the candidates
     */
    public List<BackendServer> corroborationCandidates(BackendServer server, Collection<BackendServer> listed) {
        List<BackendServer> sound = listed.stream()
                .filter(s -> s.ready() && s.service().equals(server.service()))
                .filter(s -> !inquiries.containsKey(s.lifetime()) && !ended.containsKey(s.lifetime()))
                .toList();
        List<BackendServer> near =
                sound.stream().filter(s -> s.zone().equals(server.zone())).toList();
        return near.isEmpty() ? sound : near;
    }

    /**
     * Takes over what a question showed. An end without a witness proves nothing.
     *
     * @param server the backend server that was asked
     * @param liveness what the question showed
     * @param askedAt when it was asked
     * @return the crashes that this proves, and when each happened
     */
    public Map<Crash, Moment> probeCompleted(BackendServer.Lifetime server, Liveness liveness, Moment askedAt) {
        Inquiry q = inquiries.get(server);
        if (q == null) {
            return Map.of();
        }
        if (liveness == Liveness.RUNNING) {
            runs(q, askedAt);
        }
        if (liveness != Liveness.ENDED || !q.witnessed) {
            return Map.of();
        }
        inquiries.remove(server);
        ended.put(server, askedAt);
        return q.crashes();
    }

    /**
     * Takes over that a backend server has just sent a piece of an answer.
     *
     * @param server the backend server
     * @param now the present time
     */
    public void answerReceived(BackendServer.Lifetime server, Moment now) {
        Moment sentAfter = now.minus(STILL_ON_THE_WAY);
        for (Inquiry q : inquiries.values()) {
            boolean since = q.brokenAt.values().stream().allMatch(broken -> broken.isBefore(sentAfter));
            q.witnessed |= since && !q.server.lifetime().equals(server);
        }
        Inquiry q = inquiries.get(server);
        if (q != null) {
            runs(q, sentAfter);
        }
    }

    /**
     * Takes over that a request has just been answered whole, so that no server ended because of it.
     *
     * @param request the request
     */
    public void requestServed(RequestFingerprint request) {
        inquiries.values().forEach(q -> q.brokenAt.remove(request));
        inquiries.values().removeIf(q -> q.brokenAt.isEmpty());
    }

    /** Drops what broke before a moment at which the server ran; what broke later is asked about anew. */
    private void runs(Inquiry q, Moment at) {
        q.brokenAt.values().removeIf(broken -> broken.isBefore(at));
        if (q.brokenAt.isEmpty()) {
            inquiries.remove(q.server.lifetime());
        } else {
            q.questions = 0;
        }
    }

    /**
     * Takes over the list of backend servers. A later life under the id or at the address of a server proves that it ended; that
     * it is missing does not, because it may be cut off from the store.
     *
     * @param servers the backend servers
     * @return the crashes that this proves, and when each happened
     */
    public Map<Crash, Moment> serversListed(Collection<BackendServer> servers) {
        Map<Crash, Moment> proven = new LinkedHashMap<>();
        for (Iterator<Inquiry> i = inquiries.values().iterator(); i.hasNext(); ) {
            Inquiry q = i.next();
            if (servers.stream().anyMatch(s -> succeeds(s, q.server))) {
                proven.putAll(q.crashes());
                i.remove();
            }
        }
        return proven;
    }

    private static boolean succeeds(BackendServer later, BackendServer server) {
        boolean sameAddress = later.host().equals(server.host()) && later.port() == server.port();
        return later.bornMillis() > server.bornMillis()
                && (sameAddress || later.id().equals(server.id()));
    }

    /**
     * Returns in how many failure domains backend servers broke a request off that have neither been proven to run nor to have
     * ended.
     *
     * @param request the request
     * @return the number of failure domains
     */
    public int unresolvedFailureDomains(RequestFingerprint request) {
        return (int) inquiries.values().stream()
                .filter(q -> q.brokenAt.containsKey(request))
                .map(q -> q.server.failureDomain())
                .distinct()
                .count();
    }

    /**
     * Tells whether no inquiry is open.
     *
     * @return whether there is none
     */
    public boolean isEmpty() {
        return inquiries.isEmpty();
    }
}
