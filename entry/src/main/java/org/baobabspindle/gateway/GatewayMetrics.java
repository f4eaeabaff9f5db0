package org.baobabspindle.gateway;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.port.Feed;

/** The metrics of a gateway in the Prometheus text format. */
final class GatewayMetrics {
    static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter outcomes = Counter.builder()
            .name("baobabspindle_gateway_requests_total")
            .help("Requests of callers by outcome.")
            .labelNames("outcome")
            .register(registry);
    private final Counter orders = Counter.builder()
            .name("baobabspindle_gateway_orders_total")
            .help("Orders to engines by kind and answer.")
            .labelNames("kind", "answer")
            .register(registry);

    private final Counter retries = Counter.builder()
            .name("baobabspindle_gateway_retries_total")
            .help("Requests that were to be sent once more, by service and whether the retry budget allowed it.")
            .labelNames("service", "outcome")
            .register(registry);
    private final Counter brokenRequests = Counter.builder()
            .name("baobabspindle_gateway_broken_off_total")
            .help("Requests that a backend server broke off.")
            .register(registry);
    private final Counter crashes = Counter.builder()
            .name("baobabspindle_gateway_crashes_total")
            .help("Requests that were running at a backend server when it ended.")
            .register(registry);

    private final Counter storeCalls = Counter.builder()
            .name("baobabspindle_gateway_store_calls_total")
            .help("Calls to the platform's store by purpose and the feed that they read.")
            .labelNames("purpose", "feed")
            .register(registry);

    void storeCalled(StorePurpose purpose, Optional<Feed> feed) {
        storeCalls
                .labelValues(
                        purpose.label(),
                        feed.map(f -> f.name().toLowerCase(Locale.ROOT)).orElse("none"))
                .inc();
    }

    private final Histogram predictionErrors = Histogram.builder()
            .name("baobabspindle_gateway_first_event_prediction_error_seconds")
            .help(
                    "The measured minus the predicted time to the first event of a request that was placed by prompt tokens.")
            .classicOnly()
            .classicUpperBounds(-0.4, -0.2, -0.1, -0.05, 0, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6)
            .register(registry);

    void firstEventPredicted(double predictedMillis, double millis) {
        predictionErrors.observe((millis - predictedMillis) / 1_000);
    }

    private final Histogram configurationLags = Histogram.builder()
            .name("baobabspindle_gateway_configuration_installation_lag_seconds")
            .help("Time from learning of a newer version of the configuration to its installation.")
            .classicOnly()
            .classicUpperBounds(0.05, 0.1, 0.25, 0.5, 1, 2, 3, 5)
            .register(registry);

    void configurationInstalled(Duration missingFor) {
        configurationLags.observe(missingFor.toMillis() / 1e3);
    }

    void retried(String service, boolean allowed) {
        retries.labelValues(service, allowed ? "allowed" : "denied").inc();
    }

    void brokenRequests() {
        brokenRequests.inc();
    }

    void crashed(int requests) {
        crashes.inc(requests);
    }

    void finished(String outcome) {
        outcomes.labelValues(outcome).inc();
    }

    void ordered(String kind, String answer) {
        orders.labelValues(kind, answer).inc();
    }

    void gauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(c -> c.call(value.getAsDouble()))
                .register(registry);
    }

    /** Registers a gauge with a value for each of some availability zones. */
    void zoneGauge(String name, String help, Supplier<Map<AvailabilityZone, Number>> values) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .labelNames("zone")
                .callback(c -> values.get().forEach((zone, value) -> c.call(value.doubleValue(), zone.value())))
                .register(registry);
    }

    byte[] scrape() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new PrometheusTextFormatWriter(false).write(out, registry.scrape());
        return out.toByteArray();
    }
}
