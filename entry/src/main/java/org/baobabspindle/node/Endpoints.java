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

/** The HTTP paths of an entry. */
final class Endpoints {
    private static final Duration READY_RETRY = Duration.ofSeconds(1);

    private final EntrySettings settings;
    private final EntryTables tables;
    private final RequestPipeline services;

    Endpoints(EntrySettings settings, EntryTables tables, RequestPipeline services) {
        this.settings = settings;
        this.tables = tables;
        this.services = services;
    }

    /** Returns the endpoints by the beginnings of their paths. */
    Map<String, EntryHandler.Endpoint> of(
            EntryMetrics metrics, RecordAppender appends, ConfigurationEndpoint.Confirmation confirmation) {
        RequestEndpoint requests =
                new RequestEndpoint(tables, services.requestService(), metrics, settings.maxBodyBytes());
        Map<String, EntryHandler.Endpoint> all = new HashMap<>();
        all.put("/v1/chat/completions", requests);
        all.put("/services/", requests);
        all.put("/v1/models", new ModelsEndpoint(tables));
        all.put("/v1/entries", new EntriesEndpoint(tables, Duration.ofMillis(settings.addressLifetimeMillis())));
        all.put("/metrics", metrics);
        all.put("/healthz", x -> x.respond(200, Json.object().put("alive", true)));
        all.put("/readyz", this::readiness);
        all.put("/admin/configuration", forOperators(new ConfigurationEndpoint(tables, appends, confirmation)));
        all.put("/admin/view", forOperators(new ClusterViewEndpoint(tables)));
        return all;
    }

    private EntryHandler.Endpoint forOperators(EntryHandler.Endpoint endpoint) {
        return new OperatorOnlyEndpoint(settings.operatorTokenSha256(), endpoint);
    }

    private void readiness(HttpExchange exchange) throws IOException {
        String why = services.notReadyReason().orElse("");
        if (why.isEmpty()) {
            exchange.respond(200, Json.object().put("ready", true));
        } else {
            exchange.respond(new Problem(503, "not-run", why, READY_RETRY));
        }
    }
}
