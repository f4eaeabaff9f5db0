package org.baobabspindle.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.baobabspindle.core.id.LogOffset;
import org.baobabspindle.http.Json;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpStatus;

/** Appends and reads records of the platform's log service over HTTP. */
public final class LogClient {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(3);
    private static final int MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

    private final HttpClient http;
    private final String url;

    /**
     * Creates a client.
     *
     * @param http the HTTP client
     * @param url the base URL of the log service
     */
    public LogClient(HttpClient http, String url) {
        this.http = http;
        this.url = url;
    }

    /**
     * Appends records. After a failure it is unknown whether the log holds them.
     *
     * @param records the records
     * @throws IOException if the log service did not confirm the append
     * @throws InterruptedException if the thread was interrupted
     */
    public void append(List<String> records) throws IOException, InterruptedException {
        ObjectNode body = Json.object();
        ArrayNode list = body.putArray("records");
        records.forEach(list::add);
        Request request =
                http.POST(url + "/append").body(new StringRequestContent("application/json", body.toString()));
        ContentResponse response = send(request, REQUEST_TIMEOUT);
        if (response.getStatus() != HttpStatus.OK_200) {
            throw new IOException("log service responded with status " + response.getStatus());
        }
    }

    /**
     * Reads a page of records.
     *
     * @param from the offset of the first record
     * @param wait the maximum time that the log service waits for a record if there is none from that offset on
     * @return the page, possibly without records
     * @throws IOException if the log service did not respond or its response is not valid
     * @throws InterruptedException if the thread was interrupted
     */
    public LogPage read(LogOffset from, Duration wait) throws IOException, InterruptedException {
        String query = "/read?from=" + from + "&waitMillis=" + wait.toMillis();
        ContentResponse response = send(http.newRequest(url + query), REQUEST_TIMEOUT.plus(wait));
        JsonNode body = Json.mapper().readTree(response.getContent());
        boolean expectedStatus =
                response.getStatus() == HttpStatus.OK_200 || response.getStatus() == HttpStatus.GONE_410;
        if (!expectedStatus || !body.path("head").isNumber()) {
            throw new IOException("log service responded with status " + response.getStatus());
        }
        List<String> records = new ArrayList<>();
        body.path("records").forEach(r -> records.add(r.asText()));
        return new LogPage(
                from,
                LogOffset.of(body.path("first").asLong()),
                LogOffset.of(body.path("head").asLong()),
                records);
    }

    private static ContentResponse send(Request request, Duration timeout) throws IOException, InterruptedException {
        Request timedRequest = request.timeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
        try {
            return new CompletableResponseListener(timedRequest, MAX_RESPONSE_BYTES)
                    .send()
                    .get(timeout.toMillis() * 2, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException("no response: " + e.getMessage(), e);
        }
    }
}
