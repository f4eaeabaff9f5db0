package org.baobabspindle.gateway;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.logging.EventLog;
import org.baobabspindle.port.ForwardingHeaders;
import org.baobabspindle.port.GatewaySettings;
import org.eclipse.jetty.client.HttpClient;

/** What the requests of callers share. */
final class GatewayContext {
    /**
     * The age of the configuration up to which this entry says that a key or route does not exist. Twice the wait of a read,
     * so that one lost read does not matter.
     */
    static final Duration DENIAL_AGE = Duration.ofMillis(2_600);

    /** The bodies that wait to be passed on whole, over all requests; a tenth of the smallest instance's memory. */
    private static final long ANSWER_BYTES = 32L * 1024 * 1024;

    /** Taken off the time that a removed key may be used, for the way to the backend server and clocks that drift. */
    private static final Duration KEY_MARGIN = Duration.ofMillis(500);

    private final GatewayClock clock;
    private final FleetTable fleet;
    private final Dispatcher dispatcher;
    private final HttpClient client;
    private final ForwardingHeaders headerNames;
    private final ShutdownState stopping;
    private final EventLog log;
    private final GatewayMetrics metrics;
    private final RandomGenerator random;
    private final IntSupplier entryCount;
    private final Duration keyLifetime;
    private final ServerNotices notices;
    private final CrashGuard quarantine;
    private final ResponseBuffer.ByteBudget bufferBudget = new ResponseBuffer.ByteBudget(ANSWER_BYTES);
    private final Set<CallerExchange> active = ConcurrentHashMap.newKeySet();

    GatewayContext(
            GatewayClock clock,
            FleetTable fleet,
            Dispatcher dispatcher,
            HttpClient client,
            ServerNotices notices,
            CrashGuard crashes,
            ForwardingHeaders names,
            ShutdownState stopping,
            EventLog log,
            GatewayMetrics metrics,
            RandomGenerator random,
            IntSupplier entries,
            GatewaySettings.Bounds bounds) {
        this.clock = clock;
        this.fleet = fleet;
        this.dispatcher = dispatcher;
        this.client = client;
        this.notices = notices;
        this.quarantine = crashes;
        this.headerNames = names;
        this.stopping = stopping;
        this.log = log;
        this.metrics = metrics;
        this.random = random;
        this.entryCount = entries;
        this.keyLifetime = bounds.revocation().minus(KEY_MARGIN);
    }

    GatewayClock clock() {
        return clock;
    }

    FleetTable fleet() {
        return fleet;
    }

    Dispatcher dispatcher() {
        return dispatcher;
    }

    HttpClient client() {
        return client;
    }

    ServerNotices notices() {
        return notices;
    }

    CrashGuard quarantine() {
        return quarantine;
    }

    ResponseBuffer.ByteBudget bufferBudget() {
        return bufferBudget;
    }

    ForwardingHeaders headerNames() {
        return headerNames;
    }

    ShutdownState stopping() {
        return stopping;
    }

    EventLog log() {
        return log;
    }

    RandomGenerator random() {
        return random;
    }

    /** Returns the entries that share what all may do together, this one included. */
    int entryCount() {
        return Math.max(1, entryCount.getAsInt());
    }

    /** Returns how old the proof of the configuration may be for a key to count. */
    Duration keyLifetime() {
        return keyLifetime;
    }

    void started(CallerExchange exchange) {
        active.add(exchange);
    }

    void finished(CallerExchange exchange, String outcome) {
        active.remove(exchange);
        metrics.finished(outcome);
    }

    Set<CallerExchange> active() {
        return active;
    }

    /**
     * Returns when a caller should come back, in seconds with fractions. Where no time is known callers are spread so that they do
     * not come at once.
     */
    String retryAfter(Refusal refusal, Optional<Duration> comeBack) {
        if (comeBack.isPresent()) {
            return String.format(Locale.ROOT, "%.2f", comeBack.get().toMillis() / 1e3);
        }
        double seconds =
                switch (refusal) {
                    case STOPPING, NOT_RUN -> 0.05;
                    case NOT_CONFIGURED, KEYS_UNPROVEN, CONFIGURATION_STALE -> 0.5;
                    default -> 0.3;
                };
        return String.format(Locale.ROOT, "%.2f", seconds * (1 + random.nextDouble()));
    }

    void tick(Moment now) {
        active.forEach(x -> x.tick(now));
        dispatcher.drain(now);
    }

    /**
     * Moves requests away from a target that serves no more.
     *
     * @param key the key of the target
     * @param headAlone whether its head has fallen silent while other members answer
     */
    void targetLost(String key, boolean headAlone) {
        active.forEach(x -> x.targetLost(key, headAlone));
    }

    /** Takes a retry out of the budget of a service; returns whether it may be made. */
    boolean tryRetry(String service, Moment now) {
        boolean allowed = dispatcher.tryRetry(service, entryCount(), now);
        metrics.retried(service, allowed);
        return allowed;
    }
}
