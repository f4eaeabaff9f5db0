package org.baobabspindle.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests a backend server that states in its responses how many requests per second it accepts from all entries. */
class RateLimitedServerTests extends TwoEntryTestSupport {
    /** The interval between two requests of the test, of which a server without a limit would get half. */
    private static final Duration INTERVAL = Duration.ofMillis(50);

    /** How long a server may get more than its limit after it has first stated it. */
    private static final Duration REACTION_TIME = Duration.ofMillis(2_500);

    private static final Duration WINDOW = Duration.ofSeconds(4);

    /** The arrival times of the requests at the limited server, in nanoseconds. */
    private final List<Long> arrivals = new CopyOnWriteArrayList<>();

    private volatile String limit = "2";

    private RawBackend.Script limited() {
        return (request, out, socket) -> {
            arrivals.add(System.nanoTime());
            respond(request, out, limit.isEmpty() ? "" : "Limit: " + limit + "\r\n");
        };
    }

    private static RawBackend.Script unlimited() {
        return (request, out, socket) -> respond(request, out, "");
    }

    private static void respond(String request, OutputStream out, String header) throws IOException {
        if (request.startsWith("POST /stream/")) {
            String head = String.format(EVENTS_HEAD, RawBackend.header(request, "Id"));
            RawBackend.write(
                    out,
                    head.replace("\r\n\r\n", "\r\n" + header + "\r\n") + chunk(event(0)) + chunk(event(1))
                            + "0\r\n\r\n");
        } else {
            RawBackend.write(out, plain(request, "done").replace("Stamp: s\r\n", "Stamp: s\r\n" + header));
        }
    }

    private static HttpRequest request(FakePlatform entry, String path) {
        return HttpRequest.newBuilder(URI.create(entry.callersUrl() + path))
                .header("Id", "r1")
                .header("Key", "a-key")
                .POST(HttpRequest.BodyPublishers.ofString("order"))
                .build();
    }

    /** Sends requests to the entries in turn. */
    private void sendFor(Duration time, String path, FakePlatform... entries) throws InterruptedException {
        int count = (int) (time.toMillis() / INTERVAL.toMillis());
        for (int i = 0; i < count; i++) {
            assertThat(statusOf(request(entries[i % entries.length], path))).isEqualTo(200);
            Thread.sleep(INTERVAL.toMillis());
        }
    }

    /** Asserts the bound of the users: half as much again as the limit allows in each window, and five requests. */
    private void assertWithinLimit(double perSecond) {
        double allowed = 1.5 * perSecond * WINDOW.toSeconds() + 5;
        long countedFrom = arrivals.get(0) + REACTION_TIME.toNanos();
        List<Long> counted = arrivals.stream().filter(t -> t >= countedFrom).toList();
        for (long start : counted) {
            long inWindow = counted.stream()
                    .filter(t -> t >= start && t < start + WINDOW.toNanos())
                    .count();
            assertThat((double) inWindow).isAtMost(allowed);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"/unsafe/x", "/stream/x"})
    void requestsOfAllEntriesStayWithinTheLimit(String path) throws Exception {
        start(limited(), unlimited());
        startOtherNode();
        sendFor(Duration.ofSeconds(7), path, platform, otherPlatform);
        assertWithinLimit(2);
        assertThat(arrivals.size()).isAtLeast(5);
    }

    @Test
    void entryThatStartsLaterStaysWithinTheLimit() throws Exception {
        start(limited(), unlimited());
        sendFor(Duration.ofSeconds(1), "/unsafe/x", platform);
        startOtherNode();
        Thread.sleep(500);
        int before = arrivals.size();
        sendFor(Duration.ofSeconds(2), "/unsafe/x", otherPlatform);
        assertThat(arrivals.size() - before).isAtMost(5);
    }

    @Test
    void serverIsUsedFullyAgainOnceItStatesNoLimit() throws Exception {
        start(limited(), unlimited());
        sendFor(Duration.ofSeconds(1), "/unsafe/x", platform);
        limit = "";
        sendFor(Duration.ofSeconds(2), "/unsafe/x", platform);
        int before = arrivals.size();
        sendFor(Duration.ofSeconds(2), "/unsafe/x", platform);
        assertThat(arrivals.size() - before).isAtLeast(10);
    }

    @Test
    void requestsBeyondTheLimitOfTheOnlyServerAreRefusedAtOnce() throws Exception {
        limit = "1";
        start(limited());
        assertThat(post("/safe/x").statusCode()).isEqualTo(200);
        // The first requests also take the time that the test needs to open its connections.
        assertThat(timesOfRefusals(20).size()).isAtLeast(15);
        long early = timesOfRefusals(20).stream()
                .filter(t -> t < ROUTE_TIMEOUT.dividedBy(4).toNanos())
                .count();
        assertThat(early).isAtLeast(15);
    }

    /** Sends requests at the same time and returns how long each refusal took, in nanoseconds. */
    private List<Long> timesOfRefusals(int requests) {
        long sentAt = System.nanoTime();
        List<Long> refusedAfter = new CopyOnWriteArrayList<>();
        CompletableFuture.allOf(IntStream.range(0, requests)
                        .mapToObj(
                                i -> http.sendAsync(request(platform, "/safe/x"), HttpResponse.BodyHandlers.ofString())
                                        .thenAccept(r -> {
                                            if (r.statusCode() == 503) {
                                                assertThat(r.headers().firstValue("Retry-After"))
                                                        .isPresent();
                                                refusedAfter.add(System.nanoTime() - sentAt);
                                            }
                                        }))
                        .toArray(CompletableFuture[]::new))
                .join();
        return refusedAfter;
    }

    @Test
    void ignoresLimitThatIsNotANumber() throws Exception {
        limit = "few";
        start(limited());
        sendFor(Duration.ofMillis(500), "/unsafe/x", platform);
        assertThat(arrivals).hasSize(10);
    }
}
