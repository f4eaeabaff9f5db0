package org.baobabspindle.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.stream.Stream;

/** Runs the demonstration as its callers and its operator and checks every response. */
public final class DemoMain {
    private static final String OPERATOR_TOKEN = "operator-token";
    private static final String DEALERS_TOKEN = "dealers-token";
    private static final String CLERKS_TOKEN = "clerks-token";
    private static final long AWAIT_TIMEOUT_MILLIS = 60_000;

    private final DemoClient client = new DemoClient();
    private final List<String> entries;
    private final String logUrl;
    private final List<String> services;
    private final long stoppedEntryPid;
    private final long startedAt = System.nanoTime();

    private DemoMain(String[] args) {
        this.entries = List.of(args[0].split(","));
        this.logUrl = args[1];
        this.services = List.of(args[2].split(","));
        this.stoppedEntryPid = Long.parseLong(args[3]);
    }

    /**
     * Runs the demonstration.
     *
     * @param args the base URLs of the entries, the base URL of the log, the base URLs of the plain services and
     *     the process id of the third entry; commas separate the URLs of one argument
     * @throws Exception if a check fails
     */
    public static void main(String[] args) throws Exception {
        new DemoMain(args).run();
    }

    private void run() throws Exception {
        await("all entries are ready", this::allReady);
        configure();
        await("2 groups of 4 engines are serving", () -> servingGroups() == 2);
        checkChat();
        checkStream();
        checkRefusals();
        checkResentBookingWithTicket();
        checkConcurrentBookingsWithoutTicket();
        checkStalePatch();
        checkLogOutage();
        checkEngineCrash();
        checkQuarantine();
        checkGracefulStop();
        report("done: every response was complete and every booking ran once");
    }

    private interface Condition {
        boolean isMet() throws Exception;
    }

    private void await(String description, Condition condition) throws Exception {
        long deadline = System.nanoTime() + AWAIT_TIMEOUT_MILLIS * 1_000_000;
        while (!condition.isMet()) {
            check(System.nanoTime() < deadline, "timed out waiting until " + description);
            Thread.sleep(100);
        }
        report(description);
    }

    private void report(String message) {
        System.out.printf("%7.1f s  %s%n", (System.nanoTime() - startedAt) / 1e9, message);
    }

    private static void check(boolean condition, String message) {
        if (!condition) {
            throw new IllegalStateException(message);
        }
    }

    private boolean allReady() throws Exception {
        for (String entry : entries) {
            try {
                if (client.get(entry + "/readyz", "").status() != 200) {
                    return false;
                }
            } catch (IOException e) {
                return false;
            }
        }
        return client.get(entries.get(0) + "/v1/entries", "")
                        .json()
                        .path("entries")
                        .size()
                == entries.size();
    }

    private DemoClient.Response patch(String entry, String version, String body) throws Exception {
        return client.send(new DemoClient.Request(
                "PATCH", entry + "/admin/configuration", OPERATOR_TOKEN, body, Map.of("If-Match", version)));
    }

    private void configure() throws Exception {
        String patch =
                """
                {"models": {"chests@1": {"instancesPerGroup": 4, "groups": 2}},
                 "services": {"orders": {"idempotentMethods": ["GET"]}},
                 "accounts": {
                   "dealers": {"keySha256": "%s", "models": ["chests@1"], "services": ["orders"], "requestsPerSecond": 300},
                   "clerks": {"keySha256": "%s", "models": ["chests@1"], "services": ["orders"], "requestsPerSecond": 300}}}
                """
                        .formatted(Sha256.hex(DEALERS_TOKEN), Sha256.hex(CLERKS_TOKEN));
        DemoClient.Response response = patch(entries.get(0), "\"0\"", patch);
        check(
                response.status() == 200,
                "unexpected response to the configuration patch: " + response.status() + " " + response.body());
        report("configuration 1 is in force on all entries: " + response.body());
    }

    private long servingGroups() throws Exception {
        JsonNode view =
                client.get(entries.get(1) + "/admin/view", OPERATOR_TOKEN).json();
        long serving = 0;
        for (JsonNode group : view.path("groups")) {
            serving += group.path("lifecycle").asText().equals("SERVING") ? 1 : 0;
        }
        return serving;
    }

    private static String chatBody(String content, int tokens, boolean stream) {
        ObjectNode body =
                Exchange.JSON.createObjectNode().put("model", "chests").put("max_tokens", tokens);
        body.put("stream", stream);
        body.putArray("messages").addObject().put("role", "user").put("content", content);
        return body.toString();
    }

    private static String expected(String content, int tokens) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < tokens; i++) {
            text.append(EngineStandin.expectedToken("user: " + content + "\n", i));
        }
        return text.toString();
    }

    private void checkChat() throws Exception {
        String content = "quote for 12 roll cabinets";
        DemoClient.Response response =
                client.post(entries.get(0) + "/v1/chat/completions", DEALERS_TOKEN, chatBody(content, 20, false));
        String text = response.json()
                .path("choices")
                .path(0)
                .path("message")
                .path("content")
                .asText();
        check(
                text.equals(expected(content, 20)),
                "unexpected chat response: " + response.status() + " " + response.body());
        report("dealers received a complete response of 20 tokens");
    }

    private String readStream(String entry, String token, String content, int tokens) throws Exception {
        StringBuilder text = new StringBuilder();
        boolean done = false;
        String body = chatBody(content, tokens, true);
        try (Stream<String> lines = client.stream(entry + "/v1/chat/completions", token, body)) {
            for (String line : lines.toList()) {
                if (line.equals("data: [DONE]")) {
                    done = true;
                } else if (line.startsWith("data: {")) {
                    JsonNode event = Exchange.JSON.readTree(line.substring(6));
                    text.append(event.path("choices")
                            .path(0)
                            .path("delta")
                            .path("content")
                            .asText());
                }
            }
        }
        check(done, "the stream ended without [DONE]: " + text);
        check(
                text.toString().equals(expected(content, tokens)),
                "the stream differs from the expected response: " + text);
        return text.toString();
    }

    private void checkStream() throws Exception {
        readStream(entries.get(1), CLERKS_TOKEN, "booking confirmation for siding 4", 30);
        report("clerks received a complete streamed response of 30 tokens");
    }

    private void checkRefusals() throws Exception {
        String url = entries.get(0) + "/v1/chat/completions";
        check(client.post(url, "nobody", chatBody("x", 1, false)).status() == 401, "an unknown token must get 401");
        String otherModel = chatBody("x", 1, false).replace("chests", "wagons");
        DemoClient.Response response = client.post(url, DEALERS_TOKEN, otherModel);
        check(
                response.status() == 403 && response.json().path("run").asText().equals("refused"),
                "unexpected response to a request for a model that the account may not use: " + response.body());
        check(client.post(url, DEALERS_TOKEN, "{").status() == 400, "a malformed body must get 400");
        report("an unknown token got 401, a model that the account may not use 403, a malformed body 400");
    }

    private DemoClient.Response book(String entry, String key, String reference) throws Exception {
        return client.send(new DemoClient.Request(
                "POST",
                entry + "/services/orders/bookings",
                DEALERS_TOKEN,
                "{\"reference\":\"" + reference + "\"}",
                Map.of("Idempotency-Key", key)));
    }

    private int runs(String reference) throws Exception {
        int runs = 0;
        for (String service : services) {
            runs += client.get(service + "/bookings", "").json().path(reference).asInt(0);
        }
        return runs;
    }

    private void checkResentBookingWithTicket() throws Exception {
        JsonNode addresses =
                client.get(entries.get(0) + "/v1/entries", DEALERS_TOKEN).json();
        String key = addresses.path("entries").path(0).path("keyPrefix").asText() + "order-1";
        DemoClient.Response first = book(entries.get(0), key, "order-1");
        DemoClient.Response resent = book(entries.get(1), key, "order-1");
        check(first.status() == 200, "unexpected booking response: " + first.body());
        check(first.body().equals(resent.body()), "the response to the resent booking differs: " + resent.body());
        check(runs("order-1") == 1, "order-1 ran " + runs("order-1") + " times");
        report("a booking resent through another entry ran once: " + resent.body());
    }

    private void checkConcurrentBookingsWithoutTicket() throws Exception {
        List<CompletableFuture<DemoClient.Response>> bookings = entries.stream()
                .map(entry -> CompletableFuture.supplyAsync(() -> {
                    try {
                        return book(entry, "plain-key-2", "order-2");
                    } catch (Exception e) {
                        throw new CompletionException(e);
                    }
                }))
                .toList();
        for (CompletableFuture<DemoClient.Response> booking : bookings) {
            check(
                    booking.join().status() == 200,
                    "unexpected booking response: " + booking.join().body());
        }
        check(runs("order-2") == 1, "order-2 ran " + runs("order-2") + " times");
        report("a booking sent through 3 entries at once with a key that the caller chose ran once");
    }

    private void checkStalePatch() throws Exception {
        DemoClient.Response response = patch(entries.get(1), "\"0\"", "{\"placement\": \"LEAST_STRANDED\"}");
        check(
                response.status() == 412 && response.etag().orElse("").equals("\"1\""),
                "unexpected response to a stale patch: " + response.status() + response.body());
        DemoClient.Response invalid = patch(entries.get(1), "\"1\"", "{\"models\": {\"chests@1\": {\"groups\": -1}}}");
        check(invalid.status() == 422, "unexpected response to an invalid patch: " + invalid.status() + invalid.body());
        report("a stale patch got 412 with the current version, an invalid one 422");
    }

    private void checkLogOutage() throws Exception {
        client.post(logUrl + "/switch", "", "{\"down\": true}");
        Thread.sleep(7_000);
        String content = "notice while the log is away";
        readStream(entries.get(0), DEALERS_TOKEN, content, 10);
        JsonNode addresses =
                client.get(entries.get(0) + "/v1/entries", DEALERS_TOKEN).json();
        String key = addresses.path("entries").path(1).path("keyPrefix").asText() + "order-3";
        check(
                book(entries.get(2), key, "order-3").status() == 200,
                "a booking with a ticket must succeed during the log outage");
        DemoClient.Response response = book(entries.get(2), "plain-key-4", "order-4");
        check(
                response.json().path("run").asText().equals("unknown"),
                "unexpected response to a booking without a ticket: " + response.body());
        check(response.retryAfter().isPresent(), "the response has no Retry-After header");
        check(runs("order-3") == 1 && runs("order-4") == 0, "order-3 must have run once and order-4 not at all");
        client.post(logUrl + "/switch", "", "{\"down\": false}");
        await(
                "the log is available again and a booking with the same key succeeds",
                () -> book(entries.get(1), "plain-key-4", "order-4").status() == 200);
        check(runs("order-4") == 1, "order-4 ran " + runs("order-4") + " times");
        report("log down for 7 s: streams and ticketed bookings succeeded, a key without ticket ran once afterwards");
    }

    private void checkEngineCrash() throws Exception {
        await("2 groups are serving", () -> servingGroups() == 2);
        CompletableFuture<String> streamed = CompletableFuture.supplyAsync(() -> {
            try {
                return readStream(entries.get(0), DEALERS_TOKEN, "a long drawing note", 120);
            } catch (Exception e) {
                throw new CompletionException(e);
            }
        });
        Thread.sleep(800);
        String head = busyEngine();
        crash(head);
        streamed.join();
        report("engine " + head + " crashed during a stream; the stream resumed on the other group and was complete");
        Thread.sleep(3_000);
        await("the group was repaired with the spare engine", () -> servingGroups() == 2);
    }

    private String busyEngine() throws Exception {
        for (JsonNode instance : client.get(System.getProperty("demo.instances") + "/instances", "")
                .json()
                .path("instances")) {
            String url = "http://" + instance.path("host").asText() + ":"
                    + instance.path("port").asInt();
            boolean engine = instance.path("kind").asText().equals("engine");
            if (engine && client.get(url + "/status", "").json().path("running").asInt() > 0) {
                return url;
            }
        }
        throw new IllegalStateException("no engine is running a request");
    }

    private void crash(String url) throws InterruptedException {
        try {
            client.post(url + "/crash", "", "{}");
        } catch (IOException e) {
            report("engine " + url + " closed the connection");
        }
    }

    private void checkQuarantine() throws Exception {
        String content = "please " + EngineStandin.CRASH_MARKER;
        for (int i = 0; i < 3; i++) {
            DemoClient.Response response =
                    client.post(entries.get(i % 2) + "/v1/chat/completions", CLERKS_TOKEN, chatBody(content, 5, false));
            report("a request that crashes its engine got " + response.status() + " "
                    + response.json().path("run").asText());
            check(response.status() != 200, "a request that crashes its engine must not succeed");
        }
        DemoClient.Response afterCrashes =
                client.post(entries.get(1) + "/v1/chat/completions", CLERKS_TOKEN, chatBody(content, 5, false));
        check(
                afterCrashes.status() == 422 && afterCrashes.retryAfter().isPresent(),
                "the request is not quarantined: " + afterCrashes.body());
        report("after two crashes it is refused at once with a Retry-After header");
    }

    private void checkGracefulStop() throws Exception {
        Thread.sleep(3_000);
        await("a group is serving again", () -> servingGroups() >= 1);
        CompletableFuture<String> streamed = CompletableFuture.supplyAsync(() -> {
            try {
                return readStream(entries.get(2), CLERKS_TOKEN, "handover summary", 100);
            } catch (Exception e) {
                throw new CompletionException(e);
            }
        });
        Thread.sleep(300);
        ProcessHandle process = ProcessHandle.of(stoppedEntryPid).orElseThrow();
        process.destroy();
        streamed.join();
        process.onExit().join();
        JsonNode addresses =
                client.get(entries.get(0) + "/v1/entries", DEALERS_TOKEN).json();
        check(addresses.path("entries").size() == entries.size() - 1, "the stopped entry is still listed");
        report("an entry was stopped during a stream; the stream was complete before the entry exited");
    }
}
