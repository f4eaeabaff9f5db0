package org.baobabspindle.node;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Instant;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.baobabspindle.caller.EntryHandler;
import org.baobabspindle.caller.HttpExchange;
import org.baobabspindle.caller.RequestEndpoint;
import org.baobabspindle.core.group.PlatformInstance;
import org.baobabspindle.core.id.GroupId;
import org.baobabspindle.core.request.Outcome;
import org.baobabspindle.core.request.StoredAnswer;
import org.baobabspindle.peer.PeerTraffic;
import org.baobabspindle.platform.LogAppender;
import org.baobabspindle.serving.EntryTables;

/** The metrics of an entry in Prometheus' text form. */
final class EntryMetrics implements RequestEndpoint.OutcomeCounter, EntryHandler.Endpoint {
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter outcomes = Counter.builder()
            .name("baobabspindle_requests_total")
            .help("Requests by outcome.")
            .labelNames("outcome")
            .register(registry);
    private final EntryTables tables;

    EntryMetrics(EntryTables tables, PeerTraffic traffic, LogAppender appender, LongSupplier pollBytes) {
        this.tables = tables;
        gauge("baobabspindle_groups_serving", "Tracked groups that take requests.", () -> countTrackedGroups(true));
        gauge("baobabspindle_groups_down", "Tracked groups that take no requests.", () -> countTrackedGroups(false));
        gauge(
                "baobabspindle_accelerators_stranded",
                "Accelerators in no group or in a tracked group that takes no requests.",
                this::strandedAccelerators);
        gauge("baobabspindle_fresh", "Whether the configuration in force is known.", this::freshness);
        gauge("baobabspindle_keys", "Idempotency keys remembered.", () -> tables.keys()
                .with(k -> k.size()));
        CounterWithCallback.builder()
                .name("baobabspindle_poll_bytes_total")
                .help("Bytes of both directions towards the platform and of reports and orders of engines.")
                .callback(c -> c.call((double) pollBytes.getAsLong()))
                .register(registry);
        CounterWithCallback.builder()
                .name("baobabspindle_peer_sent_bytes_total")
                .help("Bytes sent to other entries by kind of message.")
                .labelNames("kind")
                .callback(c -> traffic.bytesByMessageType().forEach((kind, bytes) -> c.call(bytes, kind)))
                .register(registry);
        CounterWithCallback.builder()
                .name("baobabspindle_appends_total")
                .help("Records queued for the log by kind.")
                .labelNames("kind")
                .callback(c -> appender.appendedByType().forEach((kind, count) -> c.call(count, kind)))
                .register(registry);
    }

    private interface GaugeValue {
        double get();
    }

    private void gauge(String name, String help, GaugeValue value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(c -> c.call(value.get()))
                .register(registry);
    }

    @Override
    public void count(Outcome outcome) {
        outcomes.labelValues(outcome.getClass().getSimpleName()).inc();
    }

    private double freshness() {
        Instant now = tables.clock().instant();
        return tables.log().with(v -> v.freshness().check(now, v.state()).isFresh()) ? 1 : 0;
    }

    /** Counts the tracked groups that accept requests, or those that do not. */
    private double countTrackedGroups(boolean serving) {
        return tables.log().with(v -> tables.groups().with(g -> v.state().groupState().groups().stream()
                .map(x -> g.assessments().of(x.id()))
                .flatMap(Optional::stream)
                .filter(a -> serving == a.lifecycle().acceptsRequests())
                .count()));
    }

    /** Counts the accelerators in no group or in a tracked group that accepts no requests. */
    private double strandedAccelerators() {
        return tables.log().with(v -> tables.groups().with(g -> {
            int stranded = 0;
            for (PlatformInstance i : g.instances().engines()) {
                Optional<GroupId> group = v.state().groupState().groupOf(i.id().instance());
                boolean down = group.flatMap(g.assessments()::of)
                        .map(a -> !a.lifecycle().acceptsRequests())
                        .orElse(false);
                stranded += group.isEmpty() || down ? i.accelerators() : 0;
            }
            return stranded;
        }));
    }

    @Override
    public void handle(HttpExchange exchange) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrometheusTextFormatWriter writer = new PrometheusTextFormatWriter(false);
        writer.write(out, registry.scrape());
        exchange.respond(StoredAnswer.of(200, writer.getContentType(), out.toByteArray()));
    }
}
