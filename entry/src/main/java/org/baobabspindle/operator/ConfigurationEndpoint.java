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
 * Shows and patches the configuration. A patch names the version it is against in {@code If-Match}; it is answered when
 * replay has accepted or refused it: 200 when it is in force everywhere, 202 while a region is out of reach.
 */
public final class ConfigurationEndpoint implements EntryHandler.Endpoint {
    private static final Duration REPLAY_WAIT = Duration.ofSeconds(8);
    private static final int MAX_PATCH_BYTES = 1_048_576;

    private final EntryTables tables;
    private final RecordAppender appends;
    private final Confirmation confirmation;

    /** Waits until a version is in force everywhere. */
    public interface Confirmation {
        /**
         * Waits for a majority of the entries of each region.
         *
         * @param version the version
         * @return the regions whose majority did not confirm in time; empty if it is in force everywhere
         */
        List<Region> await(ConfigurationVersion version);
    }

    /**
     * Creates the endpoint.
     *
     * @param tables the shared tables
     * @param appends appends to the log
     * @param confirmation waits for the other entries
     */
    public ConfigurationEndpoint(EntryTables tables, RecordAppender appends, Confirmation confirmation) {
        this.tables = tables;
        this.appends = appends;
        this.confirmation = confirmation;
    }

    @Override
    public void handle(HttpExchange exchange) throws IOException {
        if (exchange.method().equals("GET")) {
            show(exchange);
        } else if (exchange.method().equals("PATCH")) {
            patch(exchange);
        } else {
            exchange.respond(Problem.refused(405, "only GET and PATCH are allowed"));
        }
    }

    private void show(HttpExchange exchange) throws IOException {
        ObjectNode answer = Json.object();
        ConfigurationVersion version = tables.log().with(v -> {
            answer.set("configuration", Json.mapper().valueToTree(v.state().configuration()));
            return v.state().configurationState().version();
        });
        answer.put("version", version.value());
        exchange.setResponseHeader("ETag", tag(version));
        exchange.respond(200, answer);
    }

    private void patch(HttpExchange exchange) throws IOException {
        Optional<ConfigurationVersion> base = exchange.header("If-Match").map(ConfigurationEndpoint::parseTag);
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
        Optional<LogAppender.AppendResult> settled = append(new ConfigurationPatched(base.get(), patch));
        if (settled.isEmpty()) {
            exchange.respond(new Problem(
                    504,
                    "unknown",
                    "the log has not settled the patch; read the version to see",
                    Duration.ofSeconds(5)));
            return;
        }
        answer(exchange, base.get(), settled.get().verdict());
    }

    private Optional<LogAppender.AppendResult> append(ConfigurationPatched record) {
        try {
            return Optional.of(appends.append(record).get(REPLAY_WAIT.toMillis(), TimeUnit.MILLISECONDS));
        } catch (ExecutionException | TimeoutException e) {
            return Optional.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }

    private void answer(HttpExchange exchange, ConfigurationVersion base, Verdict verdict) throws IOException {
        DecisionLog.write("configuration", verdict.toString(), "base", base);
        if (!verdict.isAccepted()) {
            boolean stale = verdict.reason().startsWith("stale");
            ConfigurationVersion current =
                    tables.log().with(v -> v.state().configurationState().version());
            exchange.setResponseHeader("ETag", tag(current));
            exchange.respond(Problem.refused(stale ? 412 : 422, verdict.reason()));
            return;
        }
        ConfigurationVersion version = base.next();
        List<Region> missing = confirmation.await(version);
        ObjectNode answer = Json.object().put("version", version.value());
        answer.put("accepted", missing.isEmpty());
        ArrayNode regions = answer.putArray("pendingRegions");
        missing.forEach(r -> regions.add(r.value()));
        exchange.setResponseHeader("ETag", tag(version));
        exchange.respond(missing.isEmpty() ? 200 : 202, answer);
    }

    private static String tag(ConfigurationVersion version) {
        return '"' + version.toString() + '"';
    }

    private static ConfigurationVersion parseTag(String tag) {
        try {
            return ConfigurationVersion.of(Long.parseLong(tag.replace("\"", "").strip()));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("If-Match must be a version number but was " + tag, e);
        }
    }
}
