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
import java.util.OptionalDouble;
import java.util.Set;
import org.baobabspindle.core.dispatch.ColdServers;
import org.baobabspindle.core.dispatch.ServerRateLimits;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.logging.EventLog;
import org.baobabspindle.peer.PeerMessage;
import org.baobabspindle.port.ResponseHead;

/**
 * Collects what backend servers announce in response headers: that they are leaving, that callers must back off, the rate
 * of requests that they accept, or how long they stay cold.
 */
final class ServerNotices {
    private static final Logger LOGGER = System.getLogger(ServerNotices.class.getName());

    /** The status code whose Retry-After header requests a back-off. */
    private static final int SERVICE_UNAVAILABLE = 503;

    /** The lowest status code of an error response, which may lack headers that other responses have. */
    private static final int FIRST_ERROR_STATUS = 400;

    /** How long a leaving server is reported to other entries; by then they see it in the server list. */
    private static final Duration BROADCAST_PERIOD = Duration.ofSeconds(10);

    /** How long a leaving server is kept; its process has terminated long before. */
    private static final Duration RETENTION = Duration.ofMinutes(5);

    private final GatewayClock clock;
    private final EventLog log;
    private final Listener listener;
    private final Map<BackendServer.Lifetime, Moment> leaving = new HashMap<>();

    /** Receives the announcements of servers. */
    interface Listener {
        /** Receives all servers that are known to be leaving and must not get further requests. */
        void serversLeaving(Set<BackendServer.Lifetime> all);

        /** Called when a server requested that no requests are sent to it for a time. */
        void backOffRequested(BackendServer.Lifetime server, Duration duration, Moment now);

        /** Called with what each response of a server, to this entry or another one, states about its rate limit. */
        void rateLimitReported(BackendServer.Lifetime server, ServerRateLimits.Report report, Moment now);

        /**
         * Called with what a response of a server states about the time for which it stays cold.
         *
         * @param own whether this entry received the response
         */
        void coldReported(BackendServer.Lifetime server, ColdServers.Statement statement, boolean own, Moment now);
    }

    ServerNotices(GatewayClock clock, EventLog log, Listener listener) {
        this.clock = clock;
        this.log = log;
        this.listener = listener;
    }

    /** Evaluates the head of the response of a server to a request of a caller. */
    void responseReceived(BackendServer server, ResponseHead head) {
        probeResponseReceived(server, head);
        if (head.rateLimit().isEmpty() && head.status() < FIRST_ERROR_STATUS) {
            reportRateLimit(server, OptionalDouble.empty());
        }
    }

    /** Evaluates the head of the response of a server to a probe or an order, which cannot end a rate limit. */
    void probeResponseReceived(BackendServer server, ResponseHead head) {
        if (head.leaving()) {
            recordLeaving(List.of(server.lifetime()), "a response of the server");
        }
        head.rateLimit().ifPresent(r -> receiveRateLimit(server, r));
        head.coldMillis().ifPresent(c -> receiveCold(server, c));
        if (head.status() == SERVICE_UNAVAILABLE) {
            head.retryAfter().ifPresent(r -> requestBackOff(server, r));
        }
    }

    private void receiveRateLimit(BackendServer server, String rateLimit) {
        OptionalDouble perSecond = parseNumber(rateLimit);
        if (perSecond.isEmpty()) {
            LOGGER.log(
                    Level.DEBUG,
                    "ignoring the rate limit of {0}, not a number of requests per second: {1}",
                    server.id(),
                    rateLimit);
            return;
        }
        reportRateLimit(server, perSecond);
    }

    private void reportRateLimit(BackendServer server, OptionalDouble perSecond) {
        Moment now = clock.now();
        listener.rateLimitReported(server.lifetime(), new ServerRateLimits.Report(perSecond, now), now);
    }

    /** Receives what servers stated about their rate limits to another entry. */
    void receiveRateLimits(List<PeerMessage.RateLimitNotice> limits) {
        Moment now = clock.now();
        for (PeerMessage.RateLimitNotice n : limits) {
            parseLifetime(n.server())
                    .ifPresent(s -> listener.rateLimitReported(
                            s,
                            new ServerRateLimits.Report(n.limit(), now.minus(Duration.ofMillis(n.ageMillis()))),
                            now));
        }
    }

    private void receiveCold(BackendServer server, String millis) {
        OptionalDouble left = parseNumber(millis);
        if (left.isEmpty()) {
            LOGGER.log(
                    Level.DEBUG,
                    "ignoring the cold time of {0}, not a number of milliseconds: {1}",
                    server.id(),
                    millis);
            return;
        }
        Moment now = clock.now();
        Duration time = Duration.ofMillis((long) Math.min(Integer.MAX_VALUE, left.getAsDouble()));
        listener.coldReported(server.lifetime(), new ColdServers.Statement(time, now), true, now);
    }

    /** Receives what servers stated to another entry about the time for which they stay cold. */
    void receiveCold(List<PeerMessage.ColdNotice> servers) {
        Moment now = clock.now();
        for (PeerMessage.ColdNotice n : servers) {
            Moment receivedAt = now.minus(Duration.ofMillis(n.ageMillis()));
            parseLifetime(n.server())
                    .ifPresent(s -> listener.coldReported(
                            s, new ColdServers.Statement(Duration.ofMillis(n.leftMillis()), receivedAt), false, now));
        }
    }

    private void requestBackOff(BackendServer server, String retryAfter) {
        Optional<Duration> backOff = parseSeconds(retryAfter);
        if (backOff.isEmpty()) {
            LOGGER.log(
                    Level.DEBUG,
                    "ignoring Retry-After of {0}, not a valid number of seconds: {1}",
                    server.id(),
                    retryAfter);
            return;
        }
        log.write("pause", "the server refused a request", "server", server.id(), "time", backOff.get());
        listener.backOffRequested(server.lifetime(), backOff.get(), clock.now());
    }

    /** Receives the servers that another entry has seen leaving, as formatted lifetimes. */
    void receiveLeaving(List<String> servers) {
        List<BackendServer.Lifetime> lifetimes = new ArrayList<>();
        for (String s : servers) {
            parseLifetime(s).ifPresent(lifetimes::add);
        }
        recordLeaving(lifetimes, "another entry");
    }

    private void recordLeaving(List<BackendServer.Lifetime> servers, String source) {
        Set<BackendServer.Lifetime> all;
        Moment now = clock.now();
        synchronized (this) {
            leaving.values().removeIf(since -> now.since(since).compareTo(RETENTION) > 0);
            boolean anyNew = false;
            for (BackendServer.Lifetime s : servers) {
                if (leaving.putIfAbsent(s, now) == null) {
                    log.write("leaving", "the server announced that it is leaving", "server", s.id(), "source", source);
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

    /** Returns the servers that were recently seen leaving, as formatted lifetimes for other entries. */
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
            LOGGER.log(Level.DEBUG, "ignoring an invalid server lifetime from another entry: {0}", text);
            return Optional.empty();
        }
    }

    /** Parses a decimal number; empty unless it is finite and not negative. */
    private static OptionalDouble parseNumber(String text) {
        try {
            double rate = new BigDecimal(text.trim()).doubleValue();
            return rate >= 0 && Double.isFinite(rate) ? OptionalDouble.of(rate) : OptionalDouble.empty();
        } catch (NumberFormatException e) {
            return OptionalDouble.empty();
        }
    }

    /** Parses a time in seconds with an optional fraction; empty unless it is positive and shorter than a day. */
    static Optional<Duration> parseSeconds(String text) {
        try {
            double seconds = new BigDecimal(text.trim()).doubleValue();
            boolean valid = seconds > 0 && seconds < Duration.ofDays(1).toSeconds();
            return valid ? Optional.of(Duration.ofMillis(Math.round(seconds * 1000))) : Optional.empty();
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
