package org.baobabspindle.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests requests, no two alike, that share a prompt part which crashes each server that begins to answer them. */
class CrashingPromptPartTests extends TwoEntryTestSupport {
    private static final int SERVERS = 14;

    /** The number of crashes after which further requests with the part count against the budget of the users. */
    private static final int MAX_CRASHES = 5;

    /** The interval between two requests with the part. */
    private static final Duration INTERVAL = Duration.ofMillis(700);

    private static final String DEADLY = "dead";

    private final AtomicInteger requests = new AtomicInteger();

    private void startServers() throws Exception {
        RawBackend.Script script = (request, out, socket) -> {
            if (RawBackend.header(request, "Parts").contains(DEADLY)) {
                backendOf(socket.getLocalPort()).crash();
            } else {
                RawBackend.write(out, plain(request, "done"));
            }
        };
        start(Collections.nCopies(SERVERS, script).toArray(RawBackend.Script[]::new));
    }

    private HttpRequest request(FakePlatform entry, String path, String sharedParts) {
        int number = requests.incrementAndGet();
        return HttpRequest.newBuilder(URI.create(entry.callersUrl() + path + number))
                .header("Id", "request" + number)
                .header("Key", "a-key")
                .header("Parts", sharedParts + ",own" + number + ":250")
                .POST(HttpRequest.BodyPublishers.ofString("body" + number))
                .build();
    }

    private int send(FakePlatform entry, String path, String sharedParts) throws InterruptedException {
        return statusOf(request(entry, path, sharedParts));
    }

    private int sendDeadly(FakePlatform entry, String path) throws InterruptedException {
        return send(entry, path, "common:40," + DEADLY + ":210");
    }

    private int sendSound(FakePlatform entry) throws InterruptedException {
        return send(entry, "/safe/", "common:40");
    }

    @ParameterizedTest
    @ValueSource(strings = {"/unsafe/", "/safe/", "/stream/"})
    void newRequestsWithThePartCrashFewServers(String path) throws Exception {
        startServers();
        startOtherNode();
        sendSound(platform);
        sendSound(otherPlatform);
        for (int i = 0; i < 10; i++) {
            sendDeadly(i % 2 == 0 ? platform : otherPlatform, path);
            Thread.sleep(INTERVAL.toMillis());
        }
        assertThat(crashed()).isAtMost(MAX_CRASHES);
    }

    @Test
    void soundRequestsWithTheOtherPartsAreServed() throws Exception {
        startServers();
        startOtherNode();
        for (int i = 0; i < 8; i++) {
            FakePlatform entry = i % 2 == 0 ? platform : otherPlatform;
            assertThat(sendSound(entry)).isEqualTo(200);
            sendDeadly(entry, "/safe/");
            assertThat(sendSound(entry)).isEqualTo(200);
            Thread.sleep(INTERVAL.toMillis());
        }
        assertThat(crashed()).isAtMost(MAX_CRASHES);
    }

    /** The other entry learns from the one that has served the parts that they are harmless. */
    @Test
    void soundPartsThatOnlyOneEntryHasServedAreNotRefusedAtTheOther() throws Exception {
        startServers();
        startOtherNode();
        List<String> parts =
                IntStream.range(0, 8).mapToObj(i -> "common" + i + ":40").toList();
        for (String part : parts) {
            assertThat(send(platform, "/safe/", part)).isEqualTo(200);
        }
        send(otherPlatform, "/unsafe/", String.join(",", parts) + "," + DEADLY + ":210");
        Thread.sleep(INTERVAL.toMillis());
        for (String part : parts) {
            assertThat(send(otherPlatform, "/safe/", part)).isEqualTo(200);
        }
        assertThat(sendDeadly(otherPlatform, "/unsafe/")).isEqualTo(503);
    }

    @Test
    void entryThatStartsLaterRefusesRequestsWithThePart() throws Exception {
        startServers();
        for (int i = 0; i < 3; i++) {
            sendDeadly(platform, "/safe/");
            Thread.sleep(INTERVAL.toMillis());
        }
        startOtherNode();
        Thread.sleep(INTERVAL.toMillis());
        for (int i = 0; i < 5; i++) {
            sendDeadly(otherPlatform, "/safe/");
            Thread.sleep(INTERVAL.toMillis());
        }
        assertThat(crashed()).isAtMost(MAX_CRASHES);
    }

    /** A broken connection alone is no crash. */
    @Test
    void requestWithANewPartIsRetriedOnceItsServerIsFoundRunning() throws Exception {
        AtomicInteger runs = new AtomicInteger();
        RawBackend.Script script = (request, out, socket) -> {
            if (runs.incrementAndGet() == 1) {
                RawBackend.reset(socket);
            } else {
                RawBackend.write(out, plain(request, "done"));
            }
        };
        start(script, script);
        assertThat(send(platform, "/safe/", "new:40")).isEqualTo(200);
        assertThat(send(platform, "/safe/", "new:40")).isEqualTo(200);
    }

    @Test
    void concurrentRequestsWithThePartAreNotSentToSecondServers() throws Exception {
        startServers();
        int concurrent = 6;
        CompletableFuture.allOf(IntStream.range(0, concurrent)
                        .mapToObj(i -> http.sendAsync(
                                        request(platform, "/safe/", "common:40," + DEADLY + ":210"),
                                        HttpResponse.BodyHandlers.ofString())
                                .exceptionally(e -> null))
                        .toArray(CompletableFuture[]::new))
                .join();
        Thread.sleep(INTERVAL.toMillis());
        for (int i = 0; i < 4; i++) {
            sendDeadly(platform, "/safe/");
        }
        assertThat(crashed()).isAtMost(concurrent);
    }

    @Test
    void refusalNamesTheTimeAfterWhichTheCallerMayRetry() throws Exception {
        startServers();
        for (int i = 0; i < 4; i++) {
            sendDeadly(platform, "/safe/");
            Thread.sleep(INTERVAL.toMillis());
        }
        HttpResponse<String> refusal = http.send(
                request(platform, "/safe/", "common:40," + DEADLY + ":210"), HttpResponse.BodyHandlers.ofString());
        assertThat(refusal.statusCode()).isEqualTo(503);
        List<String> after = refusal.headers().allValues("Retry-After");
        assertThat(after).hasSize(1);
        assertThat(Double.parseDouble(after.get(0))).isGreaterThan(20);
    }
}
