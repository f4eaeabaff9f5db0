package org.baobabspindle.application;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.request.Attempt;
import org.baobabspindle.core.request.AttemptEvent;
import org.baobabspindle.core.request.StoredAnswer;
import org.baobabspindle.http.Json;
import org.baobabspindle.platform.ServiceInstance;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;

/** Calls plain services and asks whether their instances are leaving. */
public final class ServiceClient {
    private static final Duration STATUS_TIMEOUT = Duration.ofMillis(800);
    private static final int MAX_ANSWER_BYTES = 8 * 1024 * 1024;

    private final HttpClient calls;
    private final HttpClient polls;

    /**
     * Creates a client.
     *
     * @param calls an HTTP client that opens a connection for each request
     * @param polls an HTTP client that keeps connections
     */
    public ServiceClient(HttpClient calls, HttpClient polls) {
        this.calls = calls;
        this.polls = polls;
    }

    /**
     * What an instance said of itself.
     *
     * @param id the incarnation that answered
     * @param leaving whether it is about to leave
     */
    public record Status(Incarnation id, boolean leaving) {}

    /**
     * Asks an instance whether it is leaving.
     *
     * @param instance the instance
     * @return its status; fails with {@link IOException} if it does not answer in time
     */
    public CompletableFuture<Status> status(ServiceInstance instance) {
        Request request =
                polls.newRequest(url(instance) + "/status").timeout(STATUS_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        return new CompletableResponseListener(request, MAX_ANSWER_BYTES).send().thenApply(ServiceClient::parse);
    }

    private static Status parse(ContentResponse response) {
        try {
            JsonNode body = Json.mapper().readTree(response.getContent());
            Incarnation id = Incarnation.of(
                    body.path("id").asText(), body.path("incarnation").asLong());
            return new Status(id, body.path("leaving").asBoolean());
        } catch (IOException | IllegalArgumentException e) {
            throw new IllegalStateException("malformed status: " + e.getMessage(), e);
        }
    }

    /**
     * Calls an instance. On return the attempt is settled.
     *
     * @param instance the instance
     * @param call the call
     * @param attempt the attempt, of which nothing has been handed over
     * @return the whole answer, or empty if the attempt did not complete
     */
    public Optional<StoredAnswer> call(ServiceInstance instance, ServiceCall call, Attempt attempt) {
        Request request = calls.newRequest(url(instance) + call.path())
                .method(call.method())
                .headers(h -> h.put("Attempt-Id", call.attempt()))
                .timeout(call.timeout().toMillis(), TimeUnit.MILLISECONDS)
                .onRequestBegin(r -> beginOrAbort(r, attempt));
        if (!call.body().isEmpty()) {
            request.body(new StringRequestContent(call.contentType(), call.body()));
        }
        try {
            ContentResponse response = new CompletableResponseListener(request, MAX_ANSWER_BYTES)
                    .send()
                    .get();
            attempt.apply(AttemptEvent.ANSWER_STARTED);
            attempt.apply(AttemptEvent.ANSWER_ENDED);
            String type = response.getMediaType() == null ? "application/octet-stream" : response.getMediaType();
            return Optional.of(StoredAnswer.of(response.getStatus(), type, response.getContent()));
        } catch (ExecutionException e) {
            boolean late = e.getCause() instanceof TimeoutException;
            attempt.apply(late ? AttemptEvent.DEADLINE_PASSED : AttemptEvent.CONNECTION_BROKEN);
            return Optional.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            attempt.apply(AttemptEvent.CONNECTION_BROKEN);
            request.abort(e);
            return Optional.empty();
        }
    }

    private static String url(ServiceInstance instance) {
        return "http://" + instance.host() + ':' + instance.port();
    }

    private static void beginOrAbort(Request request, Attempt attempt) {
        if (!attempt.tryHandOver()) {
            request.abort(new IllegalStateException("the attempt is already settled"));
        }
    }
}
