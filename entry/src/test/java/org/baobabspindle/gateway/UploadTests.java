package org.baobabspindle.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests requests whose bodies arrive slowly, partly or not at all. */
class UploadTests extends GatewayTestSupport {
    private static final int READ_TIMEOUT_MILLIS = 8_000;

    private static String head(String path, String framing) {
        return "POST " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r1\r\nKey: a-key\r\n" + framing + "\r\n\r\n";
    }

    private Socket connect() throws IOException {
        Socket caller = new Socket(InetAddress.getLoopbackAddress(), platform.callerPort());
        caller.setSoTimeout(READ_TIMEOUT_MILLIS);
        return caller;
    }

    private static void send(Socket caller, String text) throws IOException {
        caller.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Returns the head of a response without a body. */
    private static String readHead(Socket caller) throws IOException {
        InputStream in = caller.getInputStream();
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int b = in.read();
            if (b < 0) {
                throw new IOException("connection closed after: " + head);
            }
            head.write(b);
        }
        return head.toString(StandardCharsets.ISO_8859_1);
    }

    private String metrics() {
        try {
            return http.send(
                            HttpRequest.newBuilder(URI.create(platform.metricsUrl()))
                                    .build(),
                            HttpResponse.BodyHandlers.ofString())
                    .body();
        } catch (IOException e) {
            return "";
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Nested
    class IncompleteBodies {
        @Test
        void bodyThatDoesNotArriveIsAnsweredAtTheTimeoutOfTheRoute() throws Exception {
            start((request, out, socket) -> RawBackend.write(out, plain(request, "done")));
            for (String framing : new String[] {"Content-Length: 100", "Transfer-Encoding: chunked"}) {
                try (Socket caller = connect()) {
                    long startedAt = System.nanoTime();
                    send(caller, head("/unsafe/x", framing));
                    assertThat(readHead(caller)).startsWith("HTTP/1.1 408 ");
                    assertThat(Duration.ofNanos(System.nanoTime() - startedAt).toMillis())
                            .isLessThan(ROUTE_TIMEOUT.toMillis() + 500);
                }
            }
            assertThat(backends.get(0).requests()).isEmpty();
        }

        @Test
        void malformedChunkIsRefused() throws Exception {
            start((request, out, socket) -> RawBackend.write(out, plain(request, "done")));
            try (Socket caller = connect()) {
                send(caller, head("/unsafe/x", "Transfer-Encoding: chunked") + "no size\r\n");
                assertThat(readHead(caller)).startsWith("HTTP/1.1 400 ");
            }
        }

        @Test
        void chunkedBodyIsForwardedWhole() throws Exception {
            start((request, out, socket) -> RawBackend.write(out, plain(request, "done")));
            try (Socket caller = connect()) {
                send(caller, head("/unsafe/x", "Transfer-Encoding: chunked") + chunk("a short "));
                Thread.sleep(100);
                send(caller, chunk("order") + "0\r\n\r\n");
                assertThat(readHead(caller)).startsWith("HTTP/1.1 200 ");
            }
            assertThat(backends.get(0).requests().get(0)).endsWith("a short order");
        }
    }

    @Nested
    class Disconnects {
        /** More than the sockets of a connection on loopback hold. */
        private static final int LONG_BODY_BYTES = 4_000_000;

        private boolean counted(String outcome) {
            return metrics().contains("requests_total{outcome=\"" + outcome + "\"} 1.0");
        }

        @Test
        void callerThatLeavesWhileItSendsIsCounted() throws Exception {
            start((request, out, socket) -> RawBackend.write(out, plain(request, "done")));
            try (Socket caller = connect()) {
                send(caller, head("/unsafe/x", "Content-Length: 100") + "half");
            }
            await(() -> counted("left"));
            assertThat(backends.get(0).requests()).isEmpty();
        }

        @Test
        void responseThatCannotBeDeliveredIsCounted() throws Exception {
            start((request, out, socket) -> RawBackend.write(out, plain(request, "a".repeat(LONG_BODY_BYTES))));
            try (Socket caller = new Socket()) {
                caller.setReceiveBufferSize(16 * 1024);
                caller.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), platform.callerPort()));
                send(caller, head("/unsafe/x", "Content-Length: 0"));
                await(() -> counted("answered"));
                RawBackend.reset(caller);
            }
            await(() -> counted("undelivered"));
        }
    }

    @Nested
    class Memory {
        private static final int BUDGET_BYTES = 1_000_000;
        private static final int BODY_BYTES = 500_000;
        private static final String LARGE_BODY = "a".repeat(BODY_BYTES);
        private static final String DECLARED = "Content-Length: " + BODY_BYTES;
        private static final Duration TIMEOUT = Duration.ofSeconds(6);

        private final BodyBudget budget = new BodyBudget(BUDGET_BYTES);

        private void startWithBudget() throws Exception {
            RawBackend b = new RawBackend((request, out, socket) -> RawBackend.write(out, plain(request, "done")));
            backends.add(b);
            platform = new FakePlatform(configuration(TIMEOUT), List.of(server("b1", b.port())));
            node = GatewayNode.open(platform, UnaryOperator.identity(), budget);
            await(() -> status(platform.readinessUrl()) == 200);
        }

        private void assertRefused(Socket caller) throws IOException {
            String answer = readHead(caller);
            assertThat(answer).startsWith("HTTP/1.1 503 ");
            assertThat(answer).contains("Retry-After: ");
        }

        private void assertServed(Socket caller) throws IOException {
            assertThat(readHead(caller)).startsWith("HTTP/1.1 200 ");
            assertThat(caller.getInputStream().readNBytes(4)).hasLength(4);
        }

        @Test
        void declaredBodyThatDoesNotFitIsRefusedBeforeItIsSent() throws Exception {
            startWithBudget();
            try (Socket first = connect();
                    Socket second = connect()) {
                send(first, head("/unsafe/x", DECLARED));
                await(() -> budget.reservedBytes() == BODY_BYTES);
                send(second, head("/unsafe/x", DECLARED));
                assertRefused(second);
                send(first, LARGE_BODY);
                assertServed(first);
            }
            await(() -> budget.reservedBytes() == 0);
        }

        @Test
        void smallRequestsAreServedWhileLargeOnesAreRefused() throws Exception {
            startWithBudget();
            try (Socket first = connect();
                    Socket second = connect()) {
                send(first, head("/unsafe/x", DECLARED));
                await(() -> budget.reservedBytes() == BODY_BYTES);
                send(second, head("/unsafe/x", "Content-Length: 400000"));
                assertRefused(second);
                assertThat(post("/unsafe/x").statusCode()).isEqualTo(200);
            }
        }

        @Test
        void chunkedBodyIsRefusedOnceItDoesNotFit() throws Exception {
            startWithBudget();
            try (Socket caller = connect()) {
                send(caller, head("/unsafe/x", "Transfer-Encoding: chunked") + chunk(LARGE_BODY));
                await(() -> budget.reservedBytes() == BODY_BYTES);
                send(caller, chunk(LARGE_BODY));
                assertRefused(caller);
                await(() -> budget.reservedBytes() == 0);
            }
        }

        /** A connection that is closed with unread bytes is reset, and the response is lost with it. */
        @Test
        void refusalReachesACallerThatSendsItsWholeBodyFirst() throws Exception {
            startWithBudget();
            try (Socket first = connect();
                    Socket second = connect()) {
                send(first, head("/unsafe/x", DECLARED));
                await(() -> budget.reservedBytes() == BODY_BYTES);
                send(second, head("/unsafe/x", DECLARED));
                for (int sent = 0; sent < BODY_BYTES; sent += BODY_BYTES / 10) {
                    Thread.sleep(30);
                    send(second, LARGE_BODY.substring(0, BODY_BYTES / 10));
                }
                assertRefused(second);
                send(first, LARGE_BODY);
                assertServed(first);
                await(() -> budget.reservedBytes() == 0);
                send(second, head("/unsafe/x", DECLARED) + LARGE_BODY);
                assertServed(second);
            }
            await(() -> budget.reservedBytes() == 0);
        }

        @Test
        void memoryIsFreeAgainAfterACallerHasLeft() throws Exception {
            startWithBudget();
            try (Socket caller = connect()) {
                send(caller, head("/unsafe/x", DECLARED) + "half");
                await(() -> budget.reservedBytes() == BODY_BYTES);
            }
            await(() -> budget.reservedBytes() == 0);
        }
    }

    @Nested
    class LongUploads {
        /** Longer than a request may wait for a slot. */
        private static final Duration UPLOAD_TIME = Duration.ofMillis(1_500);

        @Test
        void timeOfTheUploadIsNotCountedAsWaitForAFreeServer() throws Exception {
            start(
                    configuration(Duration.ofSeconds(6)),
                    (request, out, socket) -> RawBackend.write(out, plain(request, "done")));
            try (Socket caller = connect()) {
                send(caller, head("/unsafe/x", "Content-Length: 5"));
                Thread.sleep(UPLOAD_TIME.toMillis());
                send(caller, "order");
                assertThat(readHead(caller)).startsWith("HTTP/1.1 200 ");
            }
        }
    }
}
