package org.baobabspindle.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.baobabspindle.port.Feed;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests requests whose limits, timeout or key change between their first byte and their response. */
class ConfigurationDuringRequestTests extends GatewayTestSupport {
    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(4);
    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(100);
    private static final int LARGE_LIMIT = 1_000;
    private static final int SMALL_LIMIT = 100;
    private static final int SLOTS = 6;

    private final List<String> accounts = new CopyOnWriteArrayList<>();
    private final CountDownLatch released = new CountDownLatch(1);
    private long version = 1;

    private void start(Duration timeout, long maxBodyBytes, RawBackend.Script... scripts) throws Exception {
        start(configuration(version, timeout, maxBodyBytes, Map.of("a-key", "acme")), scripts);
    }

    /** Publishes the next version and waits until it is in force. */
    private void configure(Duration timeout, long maxBodyBytes, Map<String, String> accountsByKey)
            throws InterruptedException {
        version++;
        platform.configure(configuration(version, timeout, maxBodyBytes, accountsByKey));
        await(() -> node.context().fleet().version() == version);
    }

    private void configureKeys(Map<String, String> accountsByKey) throws InterruptedException {
        configure(LONG_TIMEOUT, LARGE_LIMIT, accountsByKey);
    }

    private void configureTimeout(Duration timeout) throws InterruptedException {
        configure(timeout, LARGE_LIMIT, Map.of("a-key", "acme"));
    }

    private void configureLimit(long maxBodyBytes) throws InterruptedException {
        configure(LONG_TIMEOUT, maxBodyBytes, Map.of("a-key", "acme"));
    }

    private void answer(String request, OutputStream out, Socket socket) throws IOException {
        RawBackend.write(out, plain(request, "done"));
    }

    private CompletableFuture<HttpResponse<String>> postAsync(String path) {
        return http.sendAsync(
                request(path).POST(HttpRequest.BodyPublishers.ofString("order")).build(),
                HttpResponse.BodyHandlers.ofString());
    }

    /** A request whose body arrives in two halves. */
    private final class SlowUpload implements AutoCloseable {
        private final RawCaller caller;
        private final String rest;

        SlowUpload(int bytes) throws Exception {
            caller = new RawCaller(platform.callerPort(), LONG_TIMEOUT.multipliedBy(2));
            caller.send("POST /unsafe/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r1\r\nKey: a-key\r\nContent-Length: " + bytes
                    + "\r\n\r\n" + "x".repeat(bytes / 2));
            rest = "x".repeat(bytes - bytes / 2);
            await(() -> !node.context().active().isEmpty());
        }

        RawCaller.Answer finish() throws Exception {
            caller.send(rest);
            return caller.read();
        }

        @Override
        public void close() throws IOException {
            caller.close();
        }
    }

    @Nested
    class Limits {
        @Test
        void bodyThatFitsTheLimitAtItsBeginningIsServed() throws Exception {
            start(LONG_TIMEOUT, LARGE_LIMIT, ConfigurationDuringRequestTests.this::answer);
            try (SlowUpload upload = new SlowUpload(LARGE_LIMIT)) {
                configureLimit(SMALL_LIMIT);
                assertThat(upload.finish().status()).isEqualTo(200);
            }
        }

        @Test
        void bodyThatFitsTheLimitAtItsEndIsServed() throws Exception {
            start(LONG_TIMEOUT, SMALL_LIMIT, ConfigurationDuringRequestTests.this::answer);
            try (SlowUpload upload = new SlowUpload(LARGE_LIMIT)) {
                configureLimit(LARGE_LIMIT);
                assertThat(upload.finish().status()).isEqualTo(200);
            }
        }

        @Test
        void bodyThatFitsNoLimitIsRefusedAndNotRun() throws Exception {
            start(LONG_TIMEOUT, LARGE_LIMIT, ConfigurationDuringRequestTests.this::answer);
            try (SlowUpload upload = new SlowUpload(LARGE_LIMIT + 1)) {
                configureLimit(SMALL_LIMIT);
                assertThat(upload.finish().status()).isEqualTo(413);
            }
            assertThat(backends.get(0).requests()).isEmpty();
        }

        /** Callers do not repeat a request after 413. */
        @Test
        void bodyThatALaterConfigurationMayAllowIsNotDenied() throws Exception {
            start(LONG_TIMEOUT, SMALL_LIMIT, ConfigurationDuringRequestTests.this::answer);
            platform.failReads(Feed.CONFIGURATION, true);
            Thread.sleep(GatewayContext.DEFAULT_MAX_DENIAL_AGE.plusMillis(1_500).toMillis());
            try (SlowUpload upload = new SlowUpload(LARGE_LIMIT)) {
                assertThat(upload.finish().status()).isEqualTo(503);
            }
            assertThat(backends.get(0).requests()).isEmpty();
        }
    }

    @Nested
    class Denials {
        /** Later the operator may have added the key, and an older version must no longer be in force. */
        @Test
        void unknownKeyIsNotDeniedOnceAnOlderVersionMayNotBeInForce() throws Exception {
            Duration bound = Duration.ofMillis(1_800);
            platform = new FakePlatform(configuration(), List.of());
            platform.setMaxConfigurationDelay(bound);
            node = GatewayNode.open(platform);
            await(() -> status(platform.readinessUrl()) == 200);
            platform.failReads(Feed.CONFIGURATION, true);
            await(() -> node.context()
                            .fleet()
                            .configurationAge(node.context().clock().now())
                            .orElseThrow()
                            .compareTo(bound)
                    > 0);
            HttpResponse<String> response = http.send(
                    request("/safe/x").setHeader("Key", "c-key").GET().build(), HttpResponse.BodyHandlers.ofString());
            assertThat(response.statusCode()).isEqualTo(503);
        }
    }

    @Nested
    class Timeouts {
        @Test
        void requestThatRunsKeepsItsTimeout() throws Exception {
            start(LONG_TIMEOUT, LARGE_LIMIT, (request, out, socket) -> {
                configureTimeout(SHORT_TIMEOUT);
                Thread.sleep(3 * SHORT_TIMEOUT.toMillis());
                RawBackend.write(out, plain(request, "done"));
            });
            assertThat(post("/unsafe/x").statusCode()).isEqualTo(200);
            assertThat(backends.get(0).requests()).hasSize(1);
        }

        @Test
        void requestThatRunsUntilItsTimeoutGetsNoPromise() throws Exception {
            start(ROUTE_TIMEOUT, LARGE_LIMIT, (request, out, socket) -> {
                configureTimeout(SHORT_TIMEOUT);
                RawBackend.awaitClose(socket);
            });
            assertThat(post("/unsafe/x").statusCode()).isEqualTo(504);
            assertThat(backends.get(0).requests()).hasSize(1);
        }

        @Test
        void streamIsResumedWithinTheTimeoutAtItsBeginning() throws Exception {
            RawBackend.Script script = (request, out, socket) -> {
                RawBackend.write(out, String.format(EVENTS_HEAD, RawBackend.header(request, "Id")));
                if (RawBackend.header(request, "Last-Event-Id").isEmpty()) {
                    RawBackend.write(out, chunk(event(1)));
                    configureTimeout(SHORT_TIMEOUT);
                    Thread.sleep(3 * SHORT_TIMEOUT.toMillis());
                    RawBackend.reset(socket);
                    return;
                }
                RawBackend.write(out, chunk(event(2)) + "0\r\n\r\n");
            };
            start(LONG_TIMEOUT, LARGE_LIMIT, script, script);
            assertThat(post("/stream/x").body()).isEqualTo(event(1) + event(2));
        }

        @Test
        void requestThatWaitsForASlotKeepsItsTimeout() throws Exception {
            startOccupied();
            CompletableFuture<HttpResponse<String>> waiting = postAsync("/unsafe/waiting");
            await(() -> node.context().active().size() == SLOTS + 1);
            configureTimeout(SHORT_TIMEOUT);
            Thread.sleep(3 * SHORT_TIMEOUT.toMillis());
            released.countDown();
            assertThat(waiting.get().statusCode()).isEqualTo(200);
        }

        @Test
        void requestWhoseBodyTakesLongerThanTheLaterTimeoutGetsATruePromise() throws Exception {
            start(LONG_TIMEOUT, LARGE_LIMIT, ConfigurationDuringRequestTests.this::answer);
            try (SlowUpload upload = new SlowUpload(SMALL_LIMIT)) {
                configureTimeout(SHORT_TIMEOUT);
                Thread.sleep(2 * SHORT_TIMEOUT.toMillis());
                assertThat(upload.finish().status()).isEqualTo(503);
            }
            assertThat(backends.get(0).requests()).isEmpty();
        }
    }

    /** Starts a gateway whose only server is occupied until the release; records the accounts of other requests. */
    private void startOccupied() throws Exception {
        start(LONG_TIMEOUT, LARGE_LIMIT, (request, out, socket) -> {
            if (request.startsWith("POST /unsafe/occupying")) {
                released.await();
            } else {
                accounts.add(RawBackend.header(request, "Account"));
            }
            RawBackend.write(out, plain(request, "done"));
        });
        for (int i = 0; i < SLOTS; i++) {
            postAsync("/unsafe/occupying");
        }
        await(() -> backends.get(0).requests().size() == SLOTS);
    }

    @Nested
    class Keys {
        @Test
        void requestThatWaitsIsServedAfterItsKeyHasComeBack() throws Exception {
            startOccupied();
            CompletableFuture<HttpResponse<String>> waiting = postAsync("/unsafe/waiting");
            await(() -> node.context().active().size() == SLOTS + 1);
            configureKeys(Map.of());
            configureKeys(Map.of("a-key", "acme"));
            released.countDown();
            assertThat(waiting.get().statusCode()).isEqualTo(200);
            assertThat(accounts).containsExactly("acme");
        }

        @Test
        void requestThatWaitsRunsForTheAccountThatHoldsItsKey() throws Exception {
            startOccupied();
            CompletableFuture<HttpResponse<String>> waiting = postAsync("/unsafe/waiting");
            await(() -> node.context().active().size() == SLOTS + 1);
            configureKeys(Map.of());
            configureKeys(Map.of("a-key", "bolt"));
            released.countDown();
            assertThat(waiting.get().statusCode()).isEqualTo(200);
            assertThat(accounts).containsExactly("bolt");
        }

        @Test
        void requestThatNoServerHasRunIsSentAgainForTheAccountThatHoldsItsKey() throws Exception {
            start(LONG_TIMEOUT, LARGE_LIMIT, this::refuseFirst, this::refuseFirst);
            assertThat(post("/unsafe/x").statusCode()).isEqualTo(200);
            assertThat(accounts).containsExactly("acme", "bolt").inOrder();
        }

        private void refuseFirst(String request, OutputStream out, Socket socket)
                throws IOException, InterruptedException {
            accounts.add(RawBackend.header(request, "Account"));
            if (accounts.size() > 1) {
                RawBackend.write(out, plain(request, "done"));
                return;
            }
            configureKeys(Map.of("a-key", "bolt"));
            RawBackend.write(out, "HTTP/1.1 503 Busy\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
        }

        @Test
        void streamKeepsTheAccountForWhichItBegan() throws Exception {
            RawBackend.Script script = (request, out, socket) -> {
                accounts.add(RawBackend.header(request, "Account"));
                RawBackend.write(out, String.format(EVENTS_HEAD, RawBackend.header(request, "Id")));
                if (RawBackend.header(request, "Last-Event-Id").isEmpty()) {
                    RawBackend.write(out, chunk(event(1)));
                    configureKeys(Map.of());
                    configureKeys(Map.of("a-key", "bolt"));
                    RawBackend.reset(socket);
                    return;
                }
                RawBackend.write(out, chunk(event(2)) + "0\r\n\r\n");
            };
            start(LONG_TIMEOUT, LARGE_LIMIT, script, script);
            assertThat(post("/stream/x").body()).isEqualTo(event(1) + event(2));
            assertThat(accounts).containsExactly("acme", "acme");
        }

        @Test
        void requestWhoseKeyComesBackWhileItIsReadIsServed() throws Exception {
            start(LONG_TIMEOUT, LARGE_LIMIT, ConfigurationDuringRequestTests.this::answer);
            try (SlowUpload upload = new SlowUpload(SMALL_LIMIT)) {
                configureKeys(Map.of());
                configureKeys(Map.of("a-key", "acme"));
                assertThat(upload.finish().status()).isEqualTo(200);
            }
        }

        @Test
        void requestWhoseKeyIsGoneWhenItIsReadIsNotRun() throws Exception {
            start(LONG_TIMEOUT, LARGE_LIMIT, ConfigurationDuringRequestTests.this::answer);
            try (SlowUpload upload = new SlowUpload(SMALL_LIMIT)) {
                configureKeys(Map.of());
                assertThat(upload.finish().status()).isEqualTo(401);
            }
            assertThat(backends.get(0).requests()).isEmpty();
        }
    }
}
