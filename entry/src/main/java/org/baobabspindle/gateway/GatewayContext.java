package org.baobabspindle.gateway;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntSupplier;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.logging.EventLog;
import org.baobabspindle.port.ForwardingHeaders;
import org.baobabspindle.port.GatewaySettings;
import org.eclipse.jetty.client.HttpClient;

/** The state and services that all requests of callers share. */
final class GatewayContext {
    /**
     * The maximum age of the configuration at which this entry reports that a key or route does not exist, where the
     * operator states no bound. Twice the wait of a read, so that a single lost read has no effect.
     */
    static final Duration DEFAULT_MAX_DENIAL_AGE = Duration.ofMillis(2_600);

    /** Subtracted from the time for which an older configuration may be in force, for clock drift. */
    private static final Duration DENIAL_MARGIN = Duration.ofMillis(100);

    /**
     * Subtracted from the time that a removed key may be used, for network delay to the backend server and clock drift.
     */
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
    private final ToIntFunction<Moment> dispatchingEntryCount;
    private final Duration keyLifetime;
    private final Duration maxDenialAge;
    private final ServerNotices notices;
    private final ReachabilityMonitor reachability;
    private final CrashGuard quarantine;
    private final EntryRelay relay;
    private final BodyBudget bodyBudget;
    private final UnnamedRefusals unnamedRefusals = new UnnamedRefusals();
    private final Set<CallerExchange> active = ConcurrentHashMap.newKeySet();

    GatewayContext(
            GatewayClock clock,
            FleetTable fleet,
            Dispatcher dispatcher,
            HttpClient client,
            ServerNotices notices,
            ReachabilityMonitor reachability,
            CrashGuard quarantine,
            EntryRelay relay,
            ForwardingHeaders names,
            ShutdownState stopping,
            EventLog log,
            GatewayMetrics metrics,
            RandomGenerator random,
            IntSupplier entries,
            ToIntFunction<Moment> dispatchingEntries,
            GatewaySettings.Bounds bounds,
            BodyBudget bodyBudget) {
        this.clock = clock;
        this.fleet = fleet;
        this.dispatcher = dispatcher;
        this.client = client;
        this.notices = notices;
        this.reachability = reachability;
        this.quarantine = quarantine;
        this.relay = relay;
        this.headerNames = names;
        this.stopping = stopping;
        this.log = log;
        this.metrics = metrics;
        this.random = random;
        this.entryCount = entries;
        this.dispatchingEntryCount = dispatchingEntries;
        this.bodyBudget = bodyBudget;
        this.maxDenialAge = bounds.maxConfigurationDelay()
                .map(d -> d.minus(DENIAL_MARGIN))
                .filter(d -> d.compareTo(DEFAULT_MAX_DENIAL_AGE) < 0)
                .orElse(DEFAULT_MAX_DENIAL_AGE);
        this.keyLifetime = bounds.maxRevocationDelay().minus(KEY_MARGIN);
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

    ReachabilityMonitor reachability() {
        return reachability;
    }

    CrashGuard quarantine() {
        return quarantine;
    }

    EntryRelay relay() {
        return relay;
    }

    BodyBudget bodyBudget() {
        return bodyBudget;
    }

    UnnamedRefusals unnamedRefusals() {
        return unnamedRefusals;
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

    /** Returns the number of entries that share the limits of the fleet, this one included; at least 1. */
    int entryCount() {
        return Math.max(1, entryCount.getAsInt());
    }

    /** Returns the number of entries that send requests to backend servers, at least 1. */
    int dispatchingEntryCount(Moment now) {
        return dispatchingEntryCount.applyAsInt(now);
    }

    /** Returns the maximum age of the configuration at which API keys are accepted. */
    Duration keyLifetime() {
        return keyLifetime;
    }

    /** Returns the maximum age of the configuration at which this entry reports that a key or route does not exist. */
    Duration maxDenialAge() {
        return maxDenialAge;
    }

    void started(CallerExchange exchange) {
        active.add(exchange);
    }
    /** Records the predicted and the measured time to the first event of a call. */
    void firstEventPredicted(double predictedMillis, double millis) {
        metrics.firstEventPredicted(predictedMillis, millis);
    }

    /** Records the outcome of a request whose response may still have to be written. */
    void finished(String outcome) {
        metrics.finished(outcome);
    }

    /** Records that the response of a request was written completely or aborted. */
    void closed(CallerExchange exchange) {
        active.remove(exchange);
    }

    /** Returns the requests whose heads were read and whose responses are not written completely. */
    Set<CallerExchange> active() {
        return active;
    }

    /**
     * Returns the value of the Retry-After header, in seconds with a fraction. Without a known time, it is random, so
     * that callers do not retry all at once.
     *
     * @param known the time after which the caller may retry; empty if it is unknown
     */
    String retryAfter(Refusal refusal, Optional<Duration> known) {
        if (known.isPresent()) {
            return String.format(Locale.ROOT, "%.2f", known.get().toMillis() / 1e3);
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
        dispatcher.refuseHopeless(dispatchingEntryCount(now), now);
        dispatcher.drain(now);
    }

    /**
     * Retries the requests of a target that no longer serves at other targets.
     *
     * @param key the key of the target
     * @param onlyHeadUnresponsive whether the head of the group is unresponsive while other members respond
     */
    void targetLost(String key, boolean onlyHeadUnresponsive) {
        active.forEach(x -> x.targetLost(key, onlyHeadUnresponsive));
    }

    /** Takes a retry out of the retry budget of a service; returns whether the budget allows it. */
    boolean tryRetry(String service, Moment now) {
        boolean allowed = dispatcher.tryRetry(service, entryCount(), now);
        metrics.retried(service, allowed);
        return allowed;
    }
}
