package org.baobabspindle.node;

import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.baobabspindle.caller.EntriesEndpoint;
import org.baobabspindle.caller.EntryHandler;
import org.baobabspindle.caller.HttpExchange;
import org.baobabspindle.caller.ModelsEndpoint;
import org.baobabspindle.caller.Problem;
import org.baobabspindle.caller.RequestEndpoint;
import org.baobabspindle.http.Json;
import org.baobabspindle.operator.ClusterViewEndpoint;
import org.baobabspindle.operator.ConfigurationEndpoint;
import org.baobabspindle.operator.OperatorOnlyEndpoint;
import org.baobabspindle.serving.EntryTables;
import org.baobabspindle.serving.RecordAppender;
import org.baobabspindle.serving.RequestPipeline;
import org.baobabspindle.settings.EntrySettings;

/** The HTTP endpoints of an entry and their paths. */
final class Endpoints {
    private static final Duration READINESS_RETRY_AFTER = Duration.ofSeconds(1);

    private final EntrySettings settings;
    private final EntryTables tables;
    private final RequestPipeline pipeline;

    Endpoints(EntrySettings settings, EntryTables tables, RequestPipeline pipeline) {
        this.settings = settings;
        this.tables = tables;
        this.pipeline = pipeline;
    }

    /** Returns the endpoints by path prefix. */
    Map<String, EntryHandler.Endpoint> byPathPrefix(
            EntryMetrics metrics, RecordAppender appender, ConfigurationEndpoint.Confirmation confirmation) {
        RequestEndpoint requests =
                new RequestEndpoint(tables, pipeline.requestService(), metrics, settings.maxBodyBytes());
        Map<String, EntryHandler.Endpoint> endpoints = new HashMap<>();
        endpoints.put("/v1/chat/completions", requests);
        endpoints.put("/services/", requests);
        endpoints.put("/v1/models", new ModelsEndpoint(tables));
        endpoints.put("/v1/entries", new EntriesEndpoint(tables, Duration.ofMillis(settings.addressLifetimeMillis())));
        endpoints.put("/metrics", metrics);
        endpoints.put(
                "/healthz", exchange -> exchange.respond(200, Json.object().put("alive", true)));
        endpoints.put("/readyz", this::readiness);
        endpoints.put("/admin/configuration", operatorsOnly(new ConfigurationEndpoint(tables, appender, confirmation)));
        endpoints.put("/admin/view", operatorsOnly(new ClusterViewEndpoint(tables)));
        return endpoints;
    }

    private EntryHandler.Endpoint operatorsOnly(EntryHandler.Endpoint endpoint) {
        return new OperatorOnlyEndpoint(settings.operatorTokenSha256(), endpoint);
    }

    private void readiness(HttpExchange exchange) throws IOException {
        String reason = pipeline.notReadyReason().orElse("");
        if (reason.isEmpty()) {
            exchange.respond(200, Json.object().put("ready", true));
        } else {
            exchange.respond(new Problem(503, "not-run", reason, READINESS_RETRY_AFTER));
        }
    }
}
