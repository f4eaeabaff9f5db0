package org.baobabspindle.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.baobabspindle.peer.PeerSecret;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests that an entry that is partitioned from all backend servers serves its callers through another entry. */
class RelayTests extends TwoEntryTestSupport {
    private static final RawBackend.Script DONE =
            (request, out, socket) -> RawBackend.write(out, plain(request, "done"));

    /** The slots of each backend server. */
    private static final int SLOTS = server("b1", 1).slots();

    /** Enough for another entry to start. */
    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(8);

    private static final RelayMark NEW = new RelayMark(1, RelayMark.Stage.NEW, 1);

    private final SwitchedLink link = new SwitchedLink();
    private final SwitchedLink otherLink = new SwitchedLink();

    private void startBoth(RawBackend.Script... scripts) throws Exception {
        start(link::replaceIn, scripts);
        startOtherNode(otherLink::replaceIn);
    }

    /** Starts an entry that cannot reach its backend server, and another one that can. */
    private void startPartitioned(RawBackend.Script script) throws Exception {
        RawBackend b = new RawBackend(script);
        backends.add(b);
        int unusedPort;
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            unusedPort = s.getLocalPort();
        }
        platform = new FakePlatform(configuration(), List.of(server("b1", unusedPort)));
        node = GatewayNode.open(platform, link::replaceIn);
        await(() -> status(platform.readinessUrl()) == 200);
        startOtherNode(otherLink::replaceIn, server("b1", b.port()));
        link.cut();
    }

    private static String streamHead(String request) {
        return String.format(EVENTS_HEAD, RawBackend.header(request, "Id"));
    }

    private int statusOfPost(String path) {
        try {
            return post(path).statusCode();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private int requestCount() {
        return backends.stream().mapToInt(b -> b.requests().size()).sum();
    }

    private String onlyRequest() {
        assertThat(requestCount()).isEqualTo(1);
        return backends.get(0).requests().get(0);
    }

    @Nested
    class NewRequests {
        @Test
        void partitionedEntryAnswersThroughAnother() throws Exception {
            startPartitioned(DONE);
            HttpResponse<String> response = post("/unsafe/x?a=b");
            assertThat(response.statusCode()).isEqualTo(200);
            assertThat(response.body()).isEqualTo("done");
            assertThat(response.headers().firstValue("Stamp")).hasValue("s");
            assertThat(response.headers().firstValue("Id")).hasValue("r1");
            assertThat(onlyRequest()).startsWith("POST /unsafe/x?a=b HTTP/1.1\r\n");
            assertThat(onlyRequest()).endsWith("\r\n\r\norder");
        }

        @Test
        void serverGetsNeitherKeyNorMark() throws Exception {
            startPartitioned(DONE);
            assertThat(post("/unsafe/x").statusCode()).isEqualTo(200);
            assertThat(onlyRequest().toLowerCase(Locale.ROOT)).doesNotContain("key");
            assertThat(onlyRequest().toLowerCase(Locale.ROOT)).doesNotContain("relay");
            assertThat(RawBackend.header(onlyRequest(), "Account")).isEqualTo("acme");
        }

        @Test
        void serverGetsTheTimeThatIsLeft() throws Exception {
            startPartitioned(DONE);
            HttpRequest r = request("/safe/x").header("Left-Ms", "900").GET().build();
            assertThat(statusOf(r)).isEqualTo(200);
            assertThat(Integer.parseInt(RawBackend.header(onlyRequest(), "Left-Ms")))
                    .isAtMost(900);
        }

        @Test
        void passesOnEventsAsTheyCome() throws Exception {
            CountDownLatch firstReceived = new CountDownLatch(1);
            startPartitioned((request, out, socket) -> {
                RawBackend.write(out, streamHead(request) + chunk(event(1)));
                firstReceived.await();
                RawBackend.write(out, chunk(event(2)) + "0\r\n\r\n");
            });
            HttpResponse<InputStream> response =
                    http.send(request("/stream/x").GET().build(), HttpResponse.BodyHandlers.ofInputStream());
            assertThat(response.body().readNBytes(event(1).length()))
                    .isEqualTo(event(1).getBytes(StandardCharsets.UTF_8));
            firstReceived.countDown();
            assertThat(response.body().readAllBytes()).isEqualTo(event(2).getBytes(StandardCharsets.UTF_8));
        }

        @Test
        void callerThatLeavesCancelsTheWorkOfTheServer() throws Exception {
            startPartitioned((request, out, socket) -> RawBackend.awaitClose(socket));
            try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), platform.callerPort())) {
                RawBackend.write(
                        caller.getOutputStream(),
                        "GET /safe/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r1\r\nKey: a-key\r\n\r\n");
                await(() -> requestCount() == 1);
            }
            await(() -> backends.get(0).closedByGateway() == 1);
        }

        @Test
        void answerThatNamesARefusalIsDelivered() throws Exception {
            startPartitioned((request, out, socket) -> RawBackend.write(
                    out,
                    plain(request, "done")
                            .replace("Stamp: s", "Stamp: s\r\n" + RelayMark.REFUSAL_HEADER + ": STOPPING")));
            HttpResponse<String> response = post("/unsafe/x");
            assertThat(response.statusCode()).isEqualTo(200);
            assertThat(response.body()).isEqualTo("done");
            assertThat(requestCount()).isEqualTo(1);
        }

        /** The other entry would follow routes that no longer apply, or deny a new one. */
        @Test
        void entryWithAnOlderConfigurationDoesNotTakeOver() throws Exception {
            startPartitioned(DONE);
            platform.configure(configuration(2, ROUTE_TIMEOUT));
            await(() -> statusOfPost("/safe/x") == 503);
            otherPlatform.configure(configuration(2, ROUTE_TIMEOUT));
            await(() -> statusOfPost("/safe/x") == 200);
        }

        @Test
        void refusesIfTheOtherEntryIsPartitionedToo() throws Exception {
            startPartitioned(DONE);
            otherLink.cut();
            HttpResponse<String> response = post("/unsafe/x");
            assertThat(response.statusCode()).isEqualTo(503);
            assertThat(response.headers().firstValue("Retry-After")).isPresent();
            assertThat(requestCount()).isEqualTo(0);
        }

        @Test
        void refusesIfThereIsNoOtherEntry() throws Exception {
            start(link::replaceIn, DONE);
            link.cut();
            HttpResponse<String> response = post("/unsafe/x");
            assertThat(response.statusCode()).isEqualTo(503);
            assertThat(response.headers().firstValue("Retry-After")).isPresent();
            assertThat(requestCount()).isEqualTo(0);
        }
    }

    @Nested
    class RequestsInProgress {
        @Test
        void silentStreamIsResumedThroughAnotherEntry() throws Exception {
            startBoth((request, out, socket) -> {
                if (RawBackend.header(request, "Last-Event-Id").isEmpty()) {
                    RawBackend.write(out, streamHead(request) + chunk(event(1)));
                    RawBackend.awaitClose(socket);
                }
                RawBackend.write(out, streamHead(request) + chunk(event(2)) + "0\r\n\r\n");
            });
            HttpResponse<InputStream> response =
                    http.send(request("/stream/x").GET().build(), HttpResponse.BodyHandlers.ofInputStream());
            response.body().readNBytes(event(1).length());
            link.cut();
            assertThat(response.body().readAllBytes()).isEqualTo(event(2).getBytes(StandardCharsets.UTF_8));
            assertThat(backends.get(0).requests()).hasSize(2);
            assertThat(RawBackend.header(backends.get(0).requests().get(1), "Last-Event-Id"))
                    .isEqualTo("1");
        }

        @Test
        void unansweredSafeRequestIsRepeatedThroughAnotherEntry() throws Exception {
            CountDownLatch first = new CountDownLatch(1);
            startBoth((request, out, socket) -> {
                if (first.getCount() > 0) {
                    first.countDown();
                    link.cut();
                    RawBackend.awaitClose(socket);
                }
                RawBackend.write(out, plain(request, "done"));
            });
            assertThat(post("/safe/x").statusCode()).isEqualTo(200);
            assertThat(requestCount()).isEqualTo(2);
        }

        /** The entry that took the request over keeps waiting for a server that it no longer reaches. */
        @Test
        void requestRelayedToAnEntryThatIsPartitionedNextMovesOn() throws Exception {
            AtomicInteger received = new AtomicInteger();
            start(configuration(LONG_TIMEOUT), link::replaceIn, (request, out, socket) -> {
                if (received.getAndIncrement() == 0) {
                    otherLink.cut();
                    RawBackend.awaitClose(socket);
                }
                RawBackend.write(out, plain(request, "done"));
            });
            startOtherNode(otherLink::replaceIn);
            link.cut();
            CompletableFuture<Integer> status = CompletableFuture.supplyAsync(() -> statusOfPost("/safe/x"));
            await(() -> received.get() > 0);
            startThirdNode();
            assertThat(status.get(10, TimeUnit.SECONDS)).isEqualTo(200);
        }

        /** The server has as many slots as there are streams, and the other entry knows them to be taken. */
        @Test
        void streamsThatMoveTogetherGetTheSlotsThatTheyLeave() throws Exception {
            startBoth((request, out, socket) -> {
                if (RawBackend.header(request, "Last-Event-Id").isEmpty()) {
                    RawBackend.write(out, streamHead(request) + chunk(event(1)));
                    RawBackend.awaitClose(socket);
                }
                RawBackend.write(out, streamHead(request) + chunk(event(2)) + "0\r\n\r\n");
            });
            List<InputStream> streams = new ArrayList<>();
            for (int i = 0; i < SLOTS; i++) {
                streams.add(http.send(request("/stream/x").GET().build(), HttpResponse.BodyHandlers.ofInputStream())
                        .body());
            }
            for (InputStream s : streams) {
                s.readNBytes(event(1).length());
            }
            TimeUnit.NANOSECONDS.sleep(
                    FleetScaling.EXCHANGE_INTERVAL.multipliedBy(2).toNanos());
            link.cut();
            for (InputStream s : streams) {
                assertThat(s.readAllBytes()).isEqualTo(event(2).getBytes(StandardCharsets.UTF_8));
            }
        }

        @Test
        void unsafeRequestThatWasSentIsNeverRepeated() throws Exception {
            startBoth((request, out, socket) -> {
                link.cut();
                Thread.sleep(ROUTE_TIMEOUT.toMillis() / 2);
                RawBackend.write(out, plain(request, "done"));
            });
            assertThat(post("/unsafe/x").statusCode()).isEqualTo(200);
            assertThat(requestCount()).isEqualTo(1);
        }
    }

    @Nested
    class ReceivedMarks {
        private HttpRequest marked(String path, String mark) {
            return request(path).header(RelayMark.HEADER, mark).GET().build();
        }

        private String signedMark(RelayMark mark) {
            return mark.format(
                    "r1", new PeerSecret(platform.announcement("entry").secret()));
        }

        private HttpResponse<String> send(HttpRequest r) throws Exception {
            return http.send(r, HttpResponse.BodyHandlers.ofString());
        }

        @Test
        void relayedRequestIsRunByNoMoreServersThanTheMarkAllows() throws Exception {
            RawBackend.Script fails = (request, out, socket) -> RawBackend.reset(socket);
            start(fails, fails);
            HttpResponse<String> response = send(marked("/safe/x", signedMark(NEW)));
            assertThat(response.statusCode()).isEqualTo(502);
            assertThat(response.headers().firstValue(RelayMark.REFUSAL_HEADER)).hasValue("BROKEN");
            assertThat(requestCount()).isEqualTo(1);
        }

        /** A new request is refused at once if the queue is so long that it would not get a slot in time. */
        @Test
        void retryWaitsLongerThanANewRequest() throws Exception {
            CountDownLatch end = new CountDownLatch(1);
            start(configuration(Duration.ofSeconds(10)), link::replaceIn, (request, out, socket) -> {
                end.await();
                RawBackend.write(out, plain(request, "done"));
            });
            for (int i = 0; i < 5 * SLOTS; i++) {
                http.sendAsync(request("/safe/x").GET().build(), HttpResponse.BodyHandlers.ofString());
            }
            await(() -> requestCount() == SLOTS);
            awaitTicks();
            CompletableFuture<HttpResponse<String>> retry = http.sendAsync(
                    marked("/safe/x", signedMark(new RelayMark(1, RelayMark.Stage.RETRIED, 1))),
                    HttpResponse.BodyHandlers.ofString());
            awaitTicks();
            end.countDown();
            assertThat(retry.get().statusCode()).isEqualTo(200);
        }

        /** Waits until each request has been checked several times. */
        private void awaitTicks() throws InterruptedException {
            int before = link.queries();
            await(() -> link.queries() - before > 3 * 5 * SLOTS);
        }

        @Test
        void relayedRequestIsNotRelayedAgain() throws Exception {
            startPartitioned(DONE);
            HttpResponse<String> response = send(marked("/safe/x", signedMark(NEW)));
            assertThat(response.statusCode()).isEqualTo(503);
            assertThat(response.headers().firstValue(RelayMark.REFUSAL_HEADER)).hasValue("PARTITIONED");
            assertThat(requestCount()).isEqualTo(0);
        }

        @Test
        void markOfACallerHasNoEffect() throws Exception {
            startPartitioned(DONE);
            HttpResponse<String> response = send(marked("/safe/x", "1 " + "0".repeat(64)));
            assertThat(response.statusCode()).isEqualTo(200);
            assertThat(onlyRequest().toLowerCase(Locale.ROOT)).doesNotContain("relay");
        }
    }
}
