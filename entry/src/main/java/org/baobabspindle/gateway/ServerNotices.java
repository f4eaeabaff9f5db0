package org.baobabspindle.gateway;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.math.BigDecimal;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.logging.EventLog;

/** What backend servers say of themselves in their answers: that they leave, or that they want a pause. */
final class ServerNotices {
    private static final Logger LOGGER = System.getLogger(ServerNotices.class.getName());

    /** The status of an answer whose Retry-After asks for a pause. */
    private static final int SERVICE_UNAVAILABLE = 503;

    /** How long a leaving server is told to other entries; until then the list shows it to them. */
    private static final Duration BROADCAST_PERIOD = Duration.ofSeconds(10);

    /** How long a leaving server is remembered; its process has ended long before. */
    private static final Duration RETENTION = Duration.ofMinutes(5);

    private final GatewayClock clock;
    private final EventLog log;
    private final Listener listener;
    private final Map<BackendServer.Lifetime, Moment> leaving = new HashMap<>();

    /** Takes over what servers have said. */
    interface Listener {
        /** A server leaves and gets no further request. */
        void serversLeaving(Set<BackendServer.Lifetime> all);

        /** A server wants nothing for a time. */
        void backOffRequested(BackendServer.Lifetime server, Duration time, Moment now);
    }

    ServerNotices(GatewayClock clock, EventLog log, Listener sink) {
        this.clock = clock;
        this.log = log;
        this.listener = sink;
    }

    /** Takes over the head of any answer of a server. */
    void responseReceived(BackendServer server, int status, boolean leaves, String retryAfter) {
        if (leaves) {
            recordLeaving(List.of(server.lifetime()), "its answer");
        }
        if (status == SERVICE_UNAVAILABLE && retryAfter != null) {
            Optional<Duration> pause = parseSeconds(retryAfter);
            if (pause.isEmpty()) {
                LOGGER.log(Level.DEBUG, "Retry-After of {0} is no number: {1}", server.id(), retryAfter);
                return;
            }
            log.write("pause", "the server turned a request away", "server", server.id(), "time", pause.get());
            listener.backOffRequested(server.lifetime(), pause.get(), clock.now());
        }
    }

    /** Takes over the servers that another entry has seen leave. */
    void receiveLeaving(List<String> servers) {
        List<BackendServer.Lifetime> known = new ArrayList<>();
        for (String s : servers) {
            parseLifetime(s).ifPresent(known::add);
        }
        recordLeaving(known, "another entry");
    }

    private void recordLeaving(List<BackendServer.Lifetime> servers, String source) {
        Set<BackendServer.Lifetime> all;
        Moment now = clock.now();
        synchronized (this) {
            leaving.values().removeIf(since -> now.since(since).compareTo(RETENTION) > 0);
            boolean anyNew = false;
            for (BackendServer.Lifetime s : servers) {
                if (leaving.putIfAbsent(s, now) == null) {
                    log.write("leaving", "the server says that it leaves", "server", s.id(), "source", source);
                    anyNew = true;
                }
            }
            if (!anyNew) {
                return;
            }
            all = new HashSet<>(leaving.keySet());
        }
        listener.serversLeaving(all);
    }

    /** Returns the servers that were seen to leave a short time ago, for other entries. */
    synchronized List<String> recentlyLeaving(Moment now) {
        List<String> result = new ArrayList<>();
        leaving.forEach((s, since) -> {
            if (now.since(since).compareTo(BROADCAST_PERIOD) <= 0) {
                result.add(s.format());
            }
        });
        return result;
    }

    private static Optional<BackendServer.Lifetime> parseLifetime(String text) {
        try {
            return Optional.of(BackendServer.Lifetime.parse(text));
        } catch (IllegalArgumentException e) {
            LOGGER.log(Level.DEBUG, "another entry names no server: {0}", text);
            return Optional.empty();
        }
    }

    /** Returns a time in seconds, perhaps with a fraction; empty if the text states none. */
    private static Optional<Duration> parseSeconds(String text) {
        try {
            double seconds = new BigDecimal(text.trim()).doubleValue();
            boolean sensible = seconds > 0 && seconds < Duration.ofDays(1).toSeconds();
            return sensible ? Optional.of(Duration.ofMillis(Math.round(seconds * 1000))) : Optional.empty();
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
