package org.baobabspindle.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.baobabspindle.core.fleet.AccountPolicy;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.CallerLimits;
import org.baobabspindle.core.fleet.FleetConfiguration;
import org.baobabspindle.core.fleet.FleetService;
import org.baobabspindle.core.fleet.Route;
import org.baobabspindle.core.fleet.RouteKind;
import org.baobabspindle.core.fleet.ServerState;
import org.baobabspindle.core.fleet.WeightedService;
import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.core.id.ClientAccountId;
import org.baobabspindle.core.id.InstanceId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The whole path of a gateway over loopback, with backend servers that misbehave. */
@Timeout(30)
class GatewayTests {
    private static final Duration ROUTE_TIMEOUT = Duration.ofMillis(1_500);
    private static final String EVENTS_HEAD = "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: first\r\n"
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final HttpClient http = HttpClient.newHttpClient();
    private final List<RawBackend> backends = new ArrayList<>();
    private GatewayNode node;
    private FakePlatform platform;

    @AfterEach
    void close() throws Exception {
        node.shutDown();
        for (RawBackend b : backends) {
            b.close();
        }
    }

    private void start(RawBackend.Script... scripts) throws Exception {
        List<BackendServer> servers = new ArrayList<>();
        for (RawBackend.Script s : scripts) {
            RawBackend b = new RawBackend(s);
            backends.add(b);
            servers.add(server("b" + backends.size(), b.port()));
        }
        platform = new FakePlatform(configuration(), servers);
        node = GatewayNode.open(platform);
        await(() -> status(platform.readiness()) == 200);
    }

    private static BackendServer server(String id, int port) {
        return new BackendServer(
                InstanceId.of(id),
                "desk",
                "127.0.0.1",
                port,
                AvailabilityZone.of("z1"),
                ServerState.READY,
                6,
                1,
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty());
    }

    private static FleetConfiguration configuration() {
        List<Route> routes = new ArrayList<>();
        for (RouteKind kind : RouteKind.values()) {
            String prefix = "/" + kind.name().toLowerCase(Locale.ROOT) + "/";
            routes.add(new Route(
                    kind.name(),
                    "127.0.0.1",
                    prefix,
                    kind,
                    kind.streaming(),
                    false,
                    ROUTE_TIMEOUT,
                    Duration.ofMillis(400),
                    Duration.ZERO,
                    1,
                    2,
                    List.of(new WeightedService("desk", 1))));
        }
        return new FleetConfiguration(
                1,
                routes,
                List.of(new FleetService("desk", 100, Optional.empty())),
                Map.of("a-key", new AccountPolicy(ClientAccountId.of("acme"), OptionalInt.empty())),
                true,
                new CallerLimits(8_000, 1_000_000, Duration.ofSeconds(5), Duration.ofSeconds(30)));
    }

    private int status(String url) {
        try {
            return http.send(HttpRequest.newBuilder(URI.create(url)).build(), HttpResponse.BodyHandlers.ofString())
                    .statusCode();
        } catch (IOException e) {
            return -1;
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + Duration.ofSeconds(10).toNanos();
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).isLessThan(end);
            Thread.sleep(20);
        }
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create(platform.callers() + path))
                .header("Id", "r1")
                .header("Key", "a-key");
    }

    private HttpResponse<String> post(String path) throws Exception {
        return http.send(
                request(path).POST(HttpRequest.BodyPublishers.ofString("order")).build(),
                HttpResponse.BodyHandlers.ofString());
    }

    private static String plain(String request, String body) {
        return "HTTP/1.1 200 OK\r\nId: " + RawBackend.header(request, "Id") + "\r\nStamp: s\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body;
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static String event(int id) {
        return "id: " + id + "\ndata: token" + id + "\n\n";
    }

    @Nested
    class Forwarding {
        @Test
        void theAnswerIsThatOfTheBackendServer() throws Exception {
            start((request, out, socket) -> RawBackend.write(out, plain(request, "done")));
            HttpResponse<String> answer = post("/unsafe/x?y=1");
            assertThat(answer.statusCode()).isEqualTo(200);
            assertThat(answer.body()).isEqualTo("done");
            assertThat(answer.headers().firstValue("Stamp")).hasValue("s");
        }

        @Test
        void theBackendServerSeesTheAccountAndNeverTheKey() throws Exception {
            start((request, out, socket) -> RawBackend.write(out, plain(request, "done")));
            post("/unsafe/x?y=1");
            String seen = backends.get(0).requests().get(0);
            assertThat(seen).startsWith("POST /unsafe/x?y=1 HTTP/1.1");
            assertThat(seen).endsWith("order");
            assertThat(RawBackend.header(seen, "Account")).isEqualTo("acme");
            assertThat(RawBackend.header(seen, "Expect")).isEqualTo("b1");
            assertThat(seen).doesNotContain("a-key");
            assertThat(Long.parseLong(RawBackend.header(seen, "Left-Ms"))).isAtMost(ROUTE_TIMEOUT.toMillis());
        }

        @Test
        void anUnknownKeyOrRouteIsRefused() throws Exception {
            start((request, out, socket) -> RawBackend.write(out, plain(request, "done")));
            assertThat(status(platform.callers() + "/unsafe/x")).isEqualTo(401);
            assertThat(status(platform.callers() + "/nowhere/x")).isEqualTo(404);
        }

        @Test
        void keysAreRefusedOnceTheConfigurationCannotBeProven() throws Exception {
            start((request, out, socket) -> RawBackend.write(out, plain(request, "done")));
            platform.takeDown();
            Thread.sleep(2_300);
            assertThat(post("/unsafe/x").statusCode()).isEqualTo(503);
            assertThat(backends.get(0).requests()).isEmpty();
        }
    }

    @Nested
    class BrokenAnswers {
        @Test
        void anAnswerWithoutLengthThatIsResetIsNotComplete() throws Exception {
            start((request, out, socket) -> {
                RawBackend.write(
                        out, "HTTP/1.1 200 OK\r\nId: r1\r\nStamp: s\r\nConnection: close\r\n\r\nhalf of the answ");
                Thread.sleep(100);
                RawBackend.reset(socket);
            });
            assertThat(post("/unsafe/x").statusCode()).isEqualTo(502);
        }

        @Test
        void anAnswerToAnotherRequestIsNotPassedOn() throws Exception {
            start((request, out, socket) ->
                    RawBackend.write(out, "HTTP/1.1 200 OK\r\nId: another\r\nStamp: s\r\nContent-Length: 2\r\n\r\nno"));
            assertThat(post("/unsafe/x").statusCode()).isEqualTo(502);
        }

        @Test
        void whatMayNotBeRepeatedIsSentOnce() throws Exception {
            RawBackend.Script reset = (request, out, socket) -> RawBackend.reset(socket);
            start(reset, reset);
            assertThat(post("/unsafe/x").statusCode()).isEqualTo(502);
            assertThat(backends.get(0).requests().size()
                            + backends.get(1).requests().size())
                    .isEqualTo(1);
        }

        @Test
        void whatMayBeRepeatedGoesToAnotherBackendServer() throws Exception {
            AtomicInteger count = new AtomicInteger();
            RawBackend.Script first = (request, out, socket) -> {
                if (count.incrementAndGet() == 1) {
                    RawBackend.reset(socket);
                } else {
                    RawBackend.write(out, plain(request, "done"));
                }
            };
            start(first, first);
            assertThat(http.send(request("/safe/x").build(), HttpResponse.BodyHandlers.ofString())
                            .body())
                    .isEqualTo("done");
        }

        @Test
        void aRefusalThatDidNotRunIsTriedElsewhereAlsoWhenItMayNotBeRepeated() throws Exception {
            AtomicInteger count = new AtomicInteger();
            RawBackend.Script script = (request, out, socket) -> RawBackend.write(
                    out,
                    count.incrementAndGet() == 1
                            ? "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
                            : plain(request, "done"));
            start(script, script);
            assertThat(post("/unsafe/x").body()).isEqualTo("done");
        }
    }

    @Nested
    class Streams {
        @Test
        void aBrokenStreamGoesOnElsewhereAfterItsLastWholeEvent() throws Exception {
            RawBackend.Script script = (request, out, socket) -> {
                String last = RawBackend.header(request, "Last-Event-Id");
                if (last.isEmpty()) {
                    RawBackend.write(
                            out, String.format(EVENTS_HEAD, "r1") + chunk(event(1) + event(2) + "id: 3\ndata: tok"));
                    Thread.sleep(100);
                    RawBackend.reset(socket);
                } else {
                    assertThat(last).isEqualTo("2");
                    RawBackend.write(
                            out,
                            String.format(EVENTS_HEAD, "r1").replace("first", "second") + chunk(event(3))
                                    + "0\r\n\r\n");
                }
            };
            start(script, script);
            HttpResponse<String> answer = post("/stream/x");
            assertThat(answer.body()).isEqualTo(event(1) + event(2) + event(3));
            assertThat(answer.headers().firstValue("Stamp")).hasValue("first");
        }

        @Test
        void aStreamWhoseSecondRunIsRefusedDoesNotLookComplete() throws Exception {
            RawBackend.Script script = (request, out, socket) -> {
                if (RawBackend.header(request, "Last-Event-Id").isEmpty()) {
                    RawBackend.write(out, String.format(EVENTS_HEAD, "r1") + chunk(event(1)));
                    Thread.sleep(100);
                    RawBackend.reset(socket);
                } else {
                    RawBackend.write(out, "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
                }
            };
            start(script, script);
            boolean broken = false;
            try {
                post("/stream/x");
            } catch (IOException e) {
                broken = true;
            }
            assertThat(broken).isTrue();
        }
    }

    @Nested
    class GracefulStop {
        private Thread stopInBackground() throws InterruptedException {
            Thread stop = new Thread(node::stop, "stop-in-test");
            stop.start();
            await(() -> status(platform.readiness()) == 503);
            return stop;
        }

        @Test
        void callersThatStillComeAreServedAndToldToGo() throws Exception {
            start((request, out, socket) -> RawBackend.write(out, plain(request, "done")));
            stopInBackground();
            HttpResponse<String> answer = post("/unsafe/x");
            assertThat(answer.body()).isEqualTo("done");
            assertThat(answer.headers().firstValue("Connection")).hasValue("close");
        }

        @Test
        void aStreamInProgressEndsWhole() throws Exception {
            start((request, out, socket) -> {
                RawBackend.write(out, String.format(EVENTS_HEAD, "r1") + chunk(event(1)));
                Thread.sleep(800);
                RawBackend.write(out, chunk(event(2)) + "0\r\n\r\n");
            });
            CompletableFuture<HttpResponse<String>> answer = http.sendAsync(
                    request("/stream/x")
                            .POST(HttpRequest.BodyPublishers.noBody())
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            await(() -> !backends.get(0).requests().isEmpty());
            stopInBackground();
            assertThat(answer.join().body()).isEqualTo(event(1) + event(2));
        }

        @Test
        void streamsAreRefusedSoonerThanPlainRequests() throws Exception {
            start((request, out, socket) -> RawBackend.write(out, plain(request, "done")));
            stopInBackground();
            Thread.sleep(800);
            assertThat(post("/stream/x").statusCode()).isEqualTo(503);
            assertThat(post("/unsafe/x").statusCode()).isEqualTo(200);
        }

        @Test
        void requestsThatCouldNotBeFinishedAreRefused() throws Exception {
            start((request, out, socket) -> RawBackend.write(out, plain(request, "done")));
            Thread stop = stopInBackground();
            Thread.sleep(1_550);
            assertThat(post("/unsafe/x").statusCode()).isEqualTo(503);
            stop.join(2_000);
            assertThat(stop.isAlive()).isFalse();
        }
    }

    @Nested
    class Time {
        @Test
        void aCallerThatLeavesEndsTheWorkOfItsBackendServer() throws Exception {
            start((request, out, socket) -> RawBackend.awaitClose(socket));
            try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), platform.callerPort())) {
                String text = "POST /stream/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r1\r\nKey: a-key\r\n"
                        + "Content-Length: 0\r\n\r\n";
                caller.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
                await(() -> !backends.get(0).requests().isEmpty());
            }
            long left = System.nanoTime();
            await(() -> backends.get(0).closedByCaller() == 1);
            assertThat(Duration.ofNanos(System.nanoTime() - left)).isLessThan(Duration.ofMillis(500));
        }

        @Test
        void theFinalAnswerComesAtTheTimeoutOfTheRoute() throws Exception {
            start((request, out, socket) -> RawBackend.awaitClose(socket));
            long begun = System.nanoTime();
            assertThat(post("/unsafe/x").statusCode()).isEqualTo(504);
            long millis = Duration.ofNanos(System.nanoTime() - begun).toMillis();
            assertThat(millis).isAtLeast(ROUTE_TIMEOUT.toMillis() - 100);
            assertThat(millis).isLessThan(ROUTE_TIMEOUT.toMillis() + 500);
        }

        @Test
        void aRequestThatCrossesAnAnswerOnAKeptConnectionIsNotLost() throws Exception {
            start((request, out, socket) -> {
                Thread.sleep(300);
                RawBackend.write(out, plain(request, "done"));
            });
            String text = "POST /unsafe/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r1\r\nKey: a-key\r\n"
                    + "Content-Length: 0\r\n\r\n";
            try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), platform.callerPort())) {
                caller.getOutputStream().write((text + text).getBytes(StandardCharsets.ISO_8859_1));
                caller.setSoTimeout(5_000);
                InputStream in = caller.getInputStream();
                StringBuilder read = new StringBuilder();
                while (read.indexOf("done") == read.lastIndexOf("done")) {
                    int b = in.read();
                    assertThat(b).isAtLeast(0);
                    read.append((char) b);
                }
            }
        }
    }
}
