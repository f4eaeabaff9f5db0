package org.baobabspindle.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests responses of backend servers that are leaving, ask for a pause, or send endless or malformed data. */
class ServerTroubleTests extends GatewayTestSupport {
    private static String plainWith(String request, String header) {
        return plain(request, "done").replace("Stamp: s\r\n", "Stamp: s\r\n" + header + "\r\n");
    }

    private static int requestCount(RawBackend b) {
        return b.requests().size();
    }

    @Nested
    class Leaving {
        @Test
        void leavingServerGetsNoFurtherRequest() throws Exception {
            RawBackend.Script leaves =
                    (request, out, socket) -> RawBackend.write(out, plainWith(request, "Leaving: 1"));
            RawBackend.Script stays = (request, out, socket) -> RawBackend.write(out, plain(request, "done"));
            start(leaves, stays);
            for (int i = 0; i < 40; i++) {
                assertThat(post("/unsafe/x").statusCode()).isEqualTo(200);
            }
            assertThat(requestCount(backends.get(0))).isAtMost(1);
            assertThat(requestCount(backends.get(1))).isAtLeast(39);
        }

        @Test
        void refusalWithLeavingHeaderStopsFurtherRequests() throws Exception {
            RawBackend.Script refuses = (request, out, socket) -> RawBackend.write(
                    out, "HTTP/1.1 503 Full\r\nId: r1\r\nNot-Run: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n");
            RawBackend.Script stays = (request, out, socket) -> RawBackend.write(out, plain(request, "done"));
            start(refuses, stays);
            for (int i = 0; i < 30; i++) {
                assertThat(post("/unsafe/x").statusCode()).isEqualTo(200);
            }
            assertThat(requestCount(backends.get(0))).isAtMost(1);
        }
    }

    @Nested
    class Pausing {
        @Test
        void serverWithRetryAfterGetsNoRequestUntilThen() throws Exception {
            AtomicInteger refused = new AtomicInteger();
            RawBackend.Script pauses = (request, out, socket) -> {
                refused.incrementAndGet();
                RawBackend.write(
                        out,
                        "HTTP/1.1 503 Full\r\nId: r1\r\nNot-Run: 1\r\nRetry-After: 20\r\nContent-Length: 0\r\n\r\n");
            };
            RawBackend.Script serves = (request, out, socket) -> RawBackend.write(out, plain(request, "done"));
            start(pauses, serves);
            for (int i = 0; i < 40; i++) {
                assertThat(post("/unsafe/x").statusCode()).isEqualTo(200);
            }
            assertThat(refused.get()).isAtMost(1);
        }

        @Test
        void ignoresRetryAfterThatIsNotANumber() throws Exception {
            RawBackend.Script odd =
                    (request, out, socket) -> RawBackend.write(out, plainWith(request, "Retry-After: soon"));
            start(odd);
            assertThat(post("/unsafe/x").statusCode()).isEqualTo(200);
            assertThat(post("/unsafe/x").statusCode()).isEqualTo(200);
        }
    }

    @Nested
    class Errors {
        @Test
        void errorOfTheOnlyServerIsForwarded() throws Exception {
            start((request, out, socket) ->
                    RawBackend.write(out, plainWith(request, "Cause: full disk").replace("200 OK", "500 Failed")));
            HttpResponse<String> answer = post("/safe/x");
            assertThat(answer.statusCode()).isEqualTo(500);
            assertThat(answer.headers().firstValue("Stamp")).hasValue("s");
            assertThat(answer.headers().firstValue("Cause")).hasValue("full disk");
        }
    }

    @Nested
    class EndlessResponses {
        private static final String FILLER = "x".repeat(8_192);

        /** The maximum number of bytes that a gateway may read of one response, including socket buffers. */
        private static final long MAX_READ_BYTES = 24L * 1024 * 1024;

        private final AtomicLong written = new AtomicLong();

        private void writeEndlessly(Supplier<String> part, OutputStream out) throws IOException {
            while (true) {
                String text = part.get();
                RawBackend.write(out, text);
                written.addAndGet(text.length());
            }
        }

        private void assertFailureIsReported(String path) throws Exception {
            HttpResponse<String> answer = post(path);
            assertThat(answer.statusCode()).isEqualTo(502);
            await(() -> backends.get(0).closedByGateway() > 0);
            assertThat(written.get()).isLessThan(MAX_READ_BYTES);
        }

        @Test
        void cancelsEndlessBodyAndReportsFailure() throws Exception {
            start((request, out, socket) -> {
                RawBackend.write(out, "HTTP/1.1 200 OK\r\nId: r1\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n");
                writeEndlessly(() -> chunk(FILLER), out);
            });
            assertFailureIsReported("/unsafe/x");
        }

        @Test
        void cancelsEndlessEventAndReportsFailure() throws Exception {
            start((request, out, socket) -> {
                RawBackend.write(out, String.format(EVENTS_HEAD, "r1"));
                writeEndlessly(() -> chunk(FILLER), out);
            });
            assertFailureIsReported("/stream/x");
        }

        @Test
        void cancelsEndlessHeadAndReportsFailure() throws Exception {
            start((request, out, socket) -> {
                RawBackend.write(out, "HTTP/1.1 200 OK\r\nId: r1\r\n");
                AtomicInteger count = new AtomicInteger();
                writeEndlessly(() -> "Filler-" + count.incrementAndGet() + ": " + FILLER + "\r\n", out);
            });
            assertFailureIsReported("/unsafe/x");
        }
    }

    @Nested
    class Connections {
        /** The server sends each response twice, the second time on a connection that may be in use for another request. */
        @Test
        void lateDuplicateResponseIsNeverForwardedToTheNextCaller() throws Exception {
            start((request, out, socket) -> {
                RawBackend.write(out, plain(request, "of " + RawBackend.header(request, "Id")));
                Thread.sleep(5);
                RawBackend.write(out, plain(request, "of " + RawBackend.header(request, "Id")));
            });
            int matched = 0;
            for (int i = 0; i < 30; i++) {
                String id = "call" + i;
                HttpRequest r = HttpRequest.newBuilder(URI.create(platform.callersUrl() + "/unsafe/x"))
                        .header("Id", id)
                        .header("Key", "a-key")
                        .POST(HttpRequest.BodyPublishers.ofString("order"))
                        .build();
                HttpResponse<String> answer = http.send(r, HttpResponse.BodyHandlers.ofString());
                if (answer.statusCode() == 200) {
                    assertThat(answer.body()).isEqualTo("of " + id);
                    matched++;
                } else {
                    assertThat(answer.statusCode()).isEqualTo(502);
                }
            }
            assertThat(matched).isGreaterThan(0);
        }

        @Test
        void malformedMessagesDoNotTerminateTheProcess() throws Exception {
            start((request, out, socket) -> RawBackend.write(out, plain(request, "done")));
            for (String bytes :
                    List.of("\0\1\2\r\n\r\n", "GET\r\n\r\n", "POST /unsafe/x HTTP/1.1\r\nContent-Length: -1\r\n\r\n")) {
                for (int port : List.of(
                        platform.callerPort(), platform.settings().listeners().peers())) {
                    try (Socket s = new Socket(InetAddress.getLoopbackAddress(), port)) {
                        s.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
                        s.getOutputStream().flush();
                    }
                }
            }
            assertThat(post("/unsafe/x").statusCode()).isEqualTo(200);
        }
    }

    @Nested
    class Streams {
        @Test
        void slowHealthyStreamIsNotCancelled() throws Exception {
            start((request, out, socket) -> {
                RawBackend.write(out, String.format(EVENTS_HEAD, "r1"));
                for (int i = 0; i < 3; i++) {
                    Thread.sleep(320);
                    RawBackend.write(out, chunk(event(i)));
                }
                RawBackend.write(out, "0\r\n\r\n");
            });
            HttpResponse<String> answer = post("/stream/x");
            assertThat(answer.body()).isEqualTo(event(0) + event(1) + event(2));
            assertThat(backends.get(0).requests()).hasSize(1);
        }

        @Test
        void streamOfSporadicBytesEndsAtItsTimeout() throws Exception {
            start((request, out, socket) -> {
                RawBackend.write(out, String.format(EVENTS_HEAD, "r1"));
                while (true) {
                    Thread.sleep(100);
                    RawBackend.write(out, chunk(":"));
                }
            });
            long startedAt = System.nanoTime();
            assertThat(post("/stream/x").statusCode()).isEqualTo(504);
            assertThat(Duration.ofNanos(System.nanoTime() - startedAt)).isLessThan(ROUTE_TIMEOUT.plusMillis(500));
            await(() -> backends.get(0).closedByGateway() > 0);
        }
    }
}
