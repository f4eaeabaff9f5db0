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

/** A caller and operator of the demonstration, over plain HTTP. */
final class DemoClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);

    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .build();

    /** An answer with its headers. */
    record Answer(int status, String body, Optional<String> retryAfter, Optional<String> tag) {
        JsonNode json() throws IOException {
            return Exchange.JSON.readTree(body);
        }
    }

    /** What is sent. */
    record Call(String method, String url, String token, String body, Map<String, String> headers) {}

    Answer send(Call call) throws IOException, InterruptedException {
        HttpResponse<String> r = http.send(request(call), HttpResponse.BodyHandlers.ofString());
        return new Answer(
                r.statusCode(),
                r.body(),
                r.headers().firstValue("Retry-After"),
                r.headers().firstValue("ETag"));
    }

    Answer get(String url, String token) throws IOException, InterruptedException {
        return send(new Call("GET", url, token, "", Map.of()));
    }

    Answer post(String url, String token, String body) throws IOException, InterruptedException {
        return send(new Call("POST", url, token, body, Map.of()));
    }

    /** Streams an answer and returns its lines. */
    Stream<String> stream(String url, String token, String body) throws IOException, InterruptedException {
        Call call = new Call("POST", url, token, body, Map.of());
        return http.send(request(call), HttpResponse.BodyHandlers.ofLines()).body();
    }

    private static HttpRequest request(Call call) {
        HttpRequest.Builder b = HttpRequest.newBuilder(URI.create(call.url()))
                .timeout(TIMEOUT)
                .header("Authorization", "Bearer " + call.token())
                .header("Content-Type", "application/json");
        call.headers().forEach(b::header);
        HttpRequest.BodyPublisher body = call.body().isEmpty()
                ? HttpRequest.BodyPublishers.noBody()
                : HttpRequest.BodyPublishers.ofString(call.body());
        return b.method(call.method(), body).build();
    }
}
