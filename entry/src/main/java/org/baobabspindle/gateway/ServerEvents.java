package org.baobabspindle.gateway;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import org.baobabspindle.core.dispatch.ColdServers;
import org.baobabspindle.core.dispatch.ServerRateLimits;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.logging.EventLog;

/** Applies what backend servers announce to the dispatch of requests, and logs the limits that follow from it. */
final class ServerEvents implements ServerNotices.Listener {
    /** How long further responses are awaited before entries are informed of servers that have become cold. */
    static final Duration COLD_EXCHANGE_DELAY = Duration.ofMillis(10);

    private final FleetTable fleet;
    private final Dispatcher dispatcher;
    private final Runnable onFleetChanged;
    private final Runnable onColdServerFound;
    private final GatewayClock clock;
    private final EventLog log;

    /** Whether a cold server was found since the last check, so that the exchange of state is already due. */
    private final AtomicBoolean coldServerFound = new AtomicBoolean();

    ServerEvents(
            FleetTable fleet,
            Dispatcher dispatcher,
            Runnable onFleetChanged,
            Runnable onColdServerFound,
            GatewayClock clock,
            EventLog log,
            GatewayMetrics metrics) {
        this.fleet = fleet;
        this.dispatcher = dispatcher;
        this.onFleetChanged = onFleetChanged;
        this.onColdServerFound = onColdServerFound;
        this.clock = clock;
        this.log = log;
        metrics.gauge(
                "baobabspindle_gateway_cold_servers",
                "Backend servers to which requests are limited because they are cold.",
                () -> dispatcher.coldServers(clock.now()).size());
        metrics.gauge(
                "baobabspindle_gateway_cold_withheld",
                "Requests since the start of this entry that waited because they were not sent to a cold server.",
                dispatcher::withheldRequests);
    }

    @Override
    public void serversLeaving(Set<BackendServer.Lifetime> all) {
        fleet.markLeaving(all);
        onFleetChanged.run();
    }

    @Override
    public void backOffRequested(BackendServer.Lifetime server, Duration duration, Moment now) {
        dispatcher.backOff(server, duration, now);
    }

    @Override
    public void rateLimitReported(BackendServer.Lifetime server, ServerRateLimits.Report report, Moment now) {
        if (dispatcher.rateLimitReported(server, report, now)) {
            log.write(
                    "limit",
                    report.perSecond().isPresent()
                            ? "the server states a rate limit"
                            : "the server states no rate limit any more",
                    "server",
                    server.id(),
                    "perSecond",
                    report.perSecond().orElse(0));
        }
    }

    @Override
    public void coldReported(BackendServer.Lifetime server, ColdServers.Statement statement, boolean own, Moment now) {
        if (dispatcher.coldReported(server, statement, now) && own && coldServerFound.compareAndSet(false, true)) {
            onColdServerFound.run();
        }
    }

    /** Logs the servers that have become cold or warm since the last call. */
    void logColdServers() {
        coldServerFound.set(false);
        for (ColdServers.Change c : dispatcher.takeColdChanges(clock.now())) {
            boolean isCold = !c.left().isZero();
            log.write(
                    "cold",
                    isCold ? "requests to the server are limited: " + c.reason().text() : "the server is warm",
                    "server",
                    c.server().id(),
                    "time",
                    c.left());
        }
    }
}
