package org.baobabspindle.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.baobabspindle.caller.EntryHandler;
import org.baobabspindle.caller.HttpExchange;
import org.baobabspindle.caller.Problem;
import org.baobabspindle.core.id.ConfigurationVersion;
import org.baobabspindle.core.id.Region;
import org.baobabspindle.core.log.ConfigurationPatched;
import org.baobabspindle.core.log.Verdict;
import org.baobabspindle.http.Json;
import org.baobabspindle.logging.DecisionLog;
import org.baobabspindle.platform.LogAppender;
import org.baobabspindle.serving.EntryTables;
import org.baobabspindle.serving.RecordAppender;

/**
 * Returns and patches the configuration. A patch names its base version in {@code If-Match}. The response is sent when replay
 * has accepted or rejected the patch: 200 if the new version is in force in all regions, 202 if some region has not confirmed
 * it in time.
 */
public final class ConfigurationEndpoint implements EntryHandler.Endpoint {
    private static final Duration REPLAY_TIMEOUT = Duration.ofSeconds(8);
    private static final int MAX_PATCH_BYTES = 1_048_576;

    private final EntryTables tables;
    private final RecordAppender recordAppender;
    private final Confirmation confirmation;

    /** Waits until a configuration version is in force in all regions. */
    public interface Confirmation {
        /**
         * Waits until a majority of the entries of each region has replayed a version, or a time limit has passed.
         *
         * @param version the configuration version
         * @return the regions without a confirming majority; empty if the version is in force in all regions
         */
        List<Region> await(ConfigurationVersion version);
    }

    /**
     * Creates the endpoint.
     *
     * @param tables the shared tables
     * @param recordAppender appends records to the log
     * @param confirmation waits for the majorities of the regions
     */
    public ConfigurationEndpoint(EntryTables tables, RecordAppender recordAppender, Confirmation confirmation) {
        this.tables = tables;
        this.recordAppender = recordAppender;
        this.confirmation = confirmation;
    }

    @Override
    public void handle(HttpExchange exchange) throws IOException {
        if (exchange.method().equals("GET")) {
            get(exchange);
        } else if (exchange.method().equals("PATCH")) {
            patch(exchange);
        } else {
            exchange.respond(Problem.refused(405, "only GET and PATCH are allowed"));
        }
    }

    private void get(HttpExchange exchange) throws IOException {
        ObjectNode body = Json.object();
        ConfigurationVersion version = tables.log().with(v -> {
            body.set("configuration", Json.mapper().valueToTree(v.state().configuration()));
            return v.state().configurationState().version();
        });
        body.put("version", version.value());
        exchange.setResponseHeader("ETag", entityTag(version));
        exchange.respond(200, body);
    }

    private void patch(HttpExchange exchange) throws IOException {
        Optional<ConfigurationVersion> base = exchange.header("If-Match").map(ConfigurationEndpoint::parseEntityTag);
        if (base.isEmpty()) {
            exchange.respond(Problem.refused(428, "If-Match must name the version that the patch is against"));
            return;
        }
        JsonNode patch;
        try {
            patch = Json.mapper().readTree(exchange.readBody(MAX_PATCH_BYTES));
        } catch (JsonProcessingException e) {
            exchange.respond(Problem.refused(400, "the patch is not JSON: " + e.getOriginalMessage()));
            return;
        }
        Optional<LogAppender.AppendResult> result = append(new ConfigurationPatched(base.get(), patch));
        if (result.isEmpty()) {
            exchange.respond(new Problem(
                    504,
                    "unknown",
                    "the log has not settled the patch; read the version to see",
                    Duration.ofSeconds(5)));
            return;
        }
        respond(exchange, base.get(), result.get().verdict());
    }

    private Optional<LogAppender.AppendResult> append(ConfigurationPatched record) {
        try {
            return Optional.of(recordAppender.append(record).get(REPLAY_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS));
        } catch (ExecutionException | TimeoutException e) {
            return Optional.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }

    private void respond(HttpExchange exchange, ConfigurationVersion base, Verdict verdict) throws IOException {
        DecisionLog.write("configuration", verdict.toString(), "base", base);
        if (!verdict.isAccepted()) {
            boolean stale = verdict.reason().startsWith("stale");
            ConfigurationVersion current =
                    tables.log().with(v -> v.state().configurationState().version());
            exchange.setResponseHeader("ETag", entityTag(current));
            exchange.respond(Problem.refused(stale ? 412 : 422, verdict.reason()));
            return;
        }
        ConfigurationVersion version = base.next();
        List<Region> pending = confirmation.await(version);
        ObjectNode body = Json.object().put("version", version.value());
        body.put("accepted", pending.isEmpty());
        ArrayNode regions = body.putArray("pendingRegions");
        pending.forEach(r -> regions.add(r.value()));
        exchange.setResponseHeader("ETag", entityTag(version));
        exchange.respond(pending.isEmpty() ? 200 : 202, body);
    }

    private static String entityTag(ConfigurationVersion version) {
        return '"' + version.toString() + '"';
    }

    private static ConfigurationVersion parseEntityTag(String tag) {
        try {
            return ConfigurationVersion.of(Long.parseLong(tag.replace("\"", "").strip()));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("If-Match must be a version number but was " + tag, e);
        }
    }
}
