package org.baobabspindle.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Backend servers that say that they leave or want a pause, and such that send bytes without end. */
class ServerTroubleTests extends GatewayTestSupport {
    private static String plainWith(String request, String header) {
        return plain(request, "done").replace("Stamp: s\r\n", "Stamp: s\r\n" + header + "\r\n");
    }

    private static int seen(RawBackend b) {
        return b.requests().size();
    }

    @Nested
    class Leaving {
        @Test
        void aServerThatSaysSoGetsNoFurtherRequest() throws Exception {
            RawBackend.Script leaves =
                    (request, out, socket) -> RawBackend.write(out, plainWith(request, "Leaving: 1"));
            RawBackend.Script stays = (request, out, socket) -> RawBackend.write(out, plain(request, "done"));
            start(leaves, stays);
            for (int i = 0; i < 40; i++) {
                assertThat(post("/unsafe/x").statusCode()).isEqualTo(200);
            }
            // A request may be on its way while the first answer is read.
            assertThat(seen(backends.get(0))).isAtMost(2);
            assertThat(seen(backends.get(1))).isAtLeast(38);
        }

        @Test
        void aRefusalTellsItAsWell() throws Exception {
            RawBackend.Script refuses = (request, out, socket) -> RawBackend.write(
                    out, "HTTP/1.1 503 Full\r\nId: r1\r\nNot-Run: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n");
            RawBackend.Script stays = (request, out, socket) -> RawBackend.write(out, plain(request, "done"));
            start(refuses, stays);
            for (int i = 0; i < 30; i++) {
                assertThat(post("/unsafe/x").statusCode()).isEqualTo(200);
            }
            assertThat(seen(backends.get(0))).isAtMost(2);
        }
    }

    @Nested
    class Pausing {
        @Test
        void aServerThatWantsAPauseGetsNothingUntilItIsOver() throws Exception {
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
            assertThat(refused.get()).isAtMost(2);
        }

        @Test
        void aTimeThatIsNoNumberIsIgnored() throws Exception {
            RawBackend.Script odd =
                    (request, out, socket) -> RawBackend.write(out, plainWith(request, "Retry-After: soon"));
            start(odd);
            assertThat(post("/unsafe/x").statusCode()).isEqualTo(200);
            assertThat(post("/unsafe/x").statusCode()).isEqualTo(200);
        }
    }

    @Nested
    class BytesWithoutEnd {
        private static final String FILLER = "x".repeat(8_192);

        private void endless(java.io.OutputStream out, java.net.Socket socket) throws IOException {
            try {
                while (true) {
                    RawBackend.write(out, chunk(FILLER));
                }
            } catch (IOException e) {
                RawBackend.awaitClose(socket);
                throw e;
            }
        }

        private void checkVisibleFailure(String path) throws Exception {
            HttpResponse<String> answer = post(path);
            assertThat(answer.statusCode()).isIn(List.of(502, 504));
            await(() -> backends.stream().mapToInt(RawBackend::closedByCaller).sum() > 0);
        }

        @Test
        void aBodyWithoutEndIsCutAndTheCallerSeesAFailure() throws Exception {
            start((request, out, socket) -> {
                RawBackend.write(out, "HTTP/1.1 200 OK\r\nId: r1\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n");
                endless(out, socket);
            });
            checkVisibleFailure("/unsafe/x");
        }

        @Test
        void anEventWithoutEndIsCutAndTheCallerSeesAFailure() throws Exception {
            start((request, out, socket) -> {
                RawBackend.write(out, String.format(EVENTS_HEAD, "r1"));
                endless(out, socket);
            });
            checkVisibleFailure("/stream/x");
        }

        @Test
        void aHeadWithoutEndIsCutAndTheCallerSeesAFailure() throws Exception {
            start((request, out, socket) -> {
                RawBackend.write(out, "HTTP/1.1 200 OK\r\nId: r1\r\n");
                int i = 0;
                while (true) {
                    RawBackend.write(out, "Filler-" + i++ + ": " + FILLER + "\r\n");
                }
            });
            checkVisibleFailure("/unsafe/x");
        }
    }
}
