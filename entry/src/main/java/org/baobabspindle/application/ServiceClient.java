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
import org.baobabspindle.http.Framing;
import org.baobabspindle.http.Json;
import org.baobabspindle.platform.ServiceInstance;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;

/** Calls plain services and requests the status of their instances. */
public final class ServiceClient {
    private static final Duration STATUS_TIMEOUT = Duration.ofMillis(800);
    private static final int MAX_ANSWER_BYTES = 8 * 1024 * 1024;

    private final HttpClient callClient;
    private final HttpClient statusClient;

    /**
     * Creates a client.
     *
     * @param callClient an HTTP client that opens a connection for each request
     * @param statusClient an HTTP client that reuses connections
     */
    public ServiceClient(HttpClient callClient, HttpClient statusClient) {
        this.callClient = callClient;
        this.statusClient = statusClient;
    }

    /**
     * The status that an instance reports.
     *
     * @param id the incarnation that answered
     * @param leaving whether it is about to leave
     */
    public record Status(Incarnation id, boolean leaving) {}

    /**
     * Requests the status of an instance.
     *
     * @param instance the instance
     * @return a future of the status; fails with {@link IOException} if it does not answer in time
     */
    public CompletableFuture<Status> status(ServiceInstance instance) {
        return status(statusClient, instance);
    }

    private static CompletableFuture<Status> status(HttpClient client, ServiceInstance instance) {
        Request request =
                client.newRequest(url(instance) + "/status").timeout(STATUS_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
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
     * Calls an instance. The attempt is settled when this method returns.
     *
     * @param instance the instance
     * @param call the call
     * @param attempt the attempt, which must not have been handed over yet
     * @return the complete answer, or empty if the attempt did not complete
     */
    public Optional<StoredAnswer> call(ServiceInstance instance, ServiceCall call, Attempt attempt) {
        Request request = callClient
                .newRequest(url(instance) + call.path())
                .method(call.method())
                .headers(h -> h.put("Attempt-Id", call.attempt()))
                .timeout(call.timeout().toMillis(), TimeUnit.MILLISECONDS)
                .onRequestBegin(r -> handOverOrAbort(r, attempt));
        if (!call.body().isEmpty()) {
            request.body(new StringRequestContent(call.contentType(), call.body()));
        }
        try {
            ContentResponse response = new CompletableResponseListener(request, MAX_ANSWER_BYTES)
                    .send()
                    .get();
            attempt.apply(AttemptEvent.ANSWER_STARTED);
            if (isUnframed(call, response) && !isRunning(instance)) {
                attempt.apply(AttemptEvent.CONNECTION_BROKEN);
                return Optional.empty();
            }
            attempt.apply(AttemptEvent.ANSWER_ENDED);
            String type = response.getMediaType() == null ? "application/octet-stream" : response.getMediaType();
            return Optional.of(StoredAnswer.of(response.getStatus(), type, response.getContent()));
        } catch (ExecutionException e) {
            boolean timedOut = e.getCause() instanceof TimeoutException;
            attempt.apply(timedOut ? AttemptEvent.DEADLINE_PASSED : AttemptEvent.CONNECTION_BROKEN);
            return Optional.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            attempt.apply(AttemptEvent.CONNECTION_BROKEN);
            request.abort(e);
            return Optional.empty();
        }
    }

    private static boolean isUnframed(ServiceCall call, ContentResponse response) {
        return !HttpMethod.HEAD.is(call.method())
                && Framing.of(response.getStatus(), response.getHeaders()) == Framing.CONNECTION;
    }

    /** Returns whether a process still runs; one that is killed ends an unframed answer as one does that completes it. */
    private boolean isRunning(ServiceInstance instance) throws InterruptedException {
        try {
            return status(callClient, instance).get().id().equals(instance.id());
        } catch (ExecutionException e) {
            return false;
        }
    }

    private static String url(ServiceInstance instance) {
        return "http://" + instance.host() + ':' + instance.port();
    }

    private static void handOverOrAbort(Request request, Attempt attempt) {
        if (!attempt.tryHandOver()) {
            request.abort(new IllegalStateException("the attempt is already settled"));
        }
    }
}
