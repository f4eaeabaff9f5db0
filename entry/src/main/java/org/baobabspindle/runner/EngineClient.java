package org.baobabspindle.runner;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.baobabspindle.core.group.KeeperAction;
import org.baobabspindle.core.group.MemberReport;
import org.baobabspindle.core.group.PlatformInstance;
import org.baobabspindle.core.group.Readiness;
import org.baobabspindle.core.id.GroupId;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.http.Json;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpStatus;

/** Requests reports from model engines and sends them orders. */
public final class EngineClient {
    private static final Duration REPORT_TIMEOUT = Duration.ofMillis(800);
    private static final int MAX_ANSWER_BYTES = 64 * 1024;

    private final HttpClient http;

    /**
     * Creates a client.
     *
     * @param http the HTTP client
     */
    public EngineClient(HttpClient http) {
        this.http = http;
    }

    /**
     * Requests a report from an engine.
     *
     * @param engine the engine
     * @param now the present time, recorded as the time of the probe
     * @return a future of the report; fails with {@link IOException} if the engine does not answer in time
     */
    public CompletableFuture<MemberReport> report(PlatformInstance engine, Instant now) {
        Request request =
                http.newRequest(url(engine) + "/status").timeout(REPORT_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        return new CompletableResponseListener(request, MAX_ANSWER_BYTES).send().thenApply(r -> parse(r, now));
    }

    /**
     * Sends an order to an engine.
     *
     * @param engine the engine
     * @param order the order
     * @param members the members of the group, in rank order
     * @param now the present time; an expired order is not sent
     * @return whether the engine accepted the order; fails with {@link IOException} if the engine does not answer in
     *     time
     */
    public CompletableFuture<Boolean> order(
            PlatformInstance engine, KeeperAction.Order order, List<PlatformInstance> members, Instant now) {
        long lifetime = Duration.between(now, order.notAfter()).toMillis();
        if (lifetime <= 0) {
            return CompletableFuture.completedFuture(false);
        }
        ObjectNode body = Json.object();
        body.put("epoch", order.fencing().epoch().value());
        body.put("counter", order.fencing().counter());
        if (order.group() != null) {
            body.put("group", order.group().value());
            body.put("model", order.model().toString());
            ArrayNode list = body.putArray("members");
            members.forEach(m -> list.add(m.host() + ':' + m.port()));
        }
        Request request = http.POST(url(engine) + "/order")
                .timeout(lifetime, TimeUnit.MILLISECONDS)
                .body(new StringRequestContent("application/json", body.toString()));
        return new CompletableResponseListener(request, MAX_ANSWER_BYTES)
                .send()
                .thenApply(r -> r.getStatus() == HttpStatus.OK_200);
    }

    private static String url(PlatformInstance engine) {
        return "http://" + engine.host() + ':' + engine.port();
    }

    private static MemberReport parse(ContentResponse response, Instant probeSentAt) {
        try {
            JsonNode body = Json.mapper().readTree(response.getContent());
            Optional<GroupId> group = body.hasNonNull("group")
                    ? Optional.of(GroupId.of(body.path("group").asLong()))
                    : Optional.empty();
            return new MemberReport(
                    Incarnation.of(
                            body.path("id").asText(), body.path("incarnation").asLong()),
                    group,
                    Readiness.valueOf(body.path("readiness").asText()),
                    body.path("leaving").asBoolean(),
                    body.path("running").asInt(),
                    probeSentAt);
        } catch (IOException | IllegalArgumentException e) {
            throw new IllegalStateException("malformed report: " + e.getMessage(), e);
        }
    }
}
