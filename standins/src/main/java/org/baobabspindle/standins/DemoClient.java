package org.baobabspindle.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/** The HTTP client of the demonstration, for its callers and its operator. */
final class DemoClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);

    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .build();

    /** A response with those headers that the demonstration checks. */
    record Response(int status, String body, Optional<String> retryAfter, Optional<String> etag) {
        JsonNode json() throws IOException {
            return Exchange.JSON.readTree(body);
        }
    }

    /** A request. An empty body is not sent. */
    record Request(String method, String url, String token, String body, Map<String, String> headers) {}

    Response send(Request request) throws IOException, InterruptedException {
        HttpResponse<String> response = http.send(toHttpRequest(request), HttpResponse.BodyHandlers.ofString());
        return new Response(
                response.statusCode(),
                response.body(),
                response.headers().firstValue("Retry-After"),
                response.headers().firstValue("ETag"));
    }

    Response get(String url, String token) throws IOException, InterruptedException {
        return send(new Request("GET", url, token, "", Map.of()));
    }

    Response post(String url, String token, String body) throws IOException, InterruptedException {
        return send(new Request("POST", url, token, body, Map.of()));
    }

    /** Sends a request and returns the lines of its streamed response. */
    Stream<String> stream(String url, String token, String body) throws IOException, InterruptedException {
        Request request = new Request("POST", url, token, body, Map.of());
        return http.send(toHttpRequest(request), HttpResponse.BodyHandlers.ofLines())
                .body();
    }

    private static HttpRequest toHttpRequest(Request request) {
        HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create(request.url()))
                .timeout(TIMEOUT)
                .header("Authorization", "Bearer " + request.token())
                .header("Content-Type", "application/json");
        request.headers().forEach(builder::header);
        HttpRequest.BodyPublisher body = request.body().isEmpty()
                ? HttpRequest.BodyPublishers.noBody()
                : HttpRequest.BodyPublishers.ofString(request.body());
        return builder.method(request.method(), body).build();
    }
}
