package org.baobabspindle.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Tests a server that responds before it has read a long body, keeps the connection open and reads the rest later. */
class EarlyAnswerTests extends GatewayTestSupport {
    private static final int BODY_BYTES = 900_000;

    /** Smaller than a body, so that the rest of a body is still at the gateway when the server responds. */
    private static final int RECEIVE_BUFFER_BYTES = 16 * 1024;

    /** The bytes received in place of the rest of each body; empty if the connection was closed before them. */
    private final List<String> bodyRemainders = new CopyOnWriteArrayList<>();

    private final AtomicInteger answered = new AtomicInteger();

    private void accept(ServerSocket listener) {
        while (!listener.isClosed()) {
            try {
                Socket s = listener.accept();
                Thread t = new Thread(() -> serve(s), "early-connection");
                t.setDaemon(true);
                t.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    /** Responds to each request as soon as its head has been read, and reads its body later. */
    private void serve(Socket s) {
        try (s) {
            InputStream in = new BufferedInputStream(s.getInputStream());
            while (true) {
                StringBuilder head = new StringBuilder();
                while (head.indexOf("\r\n\r\n") < 0) {
                    int b = in.read();
                    if (b < 0) {
                        return;
                    }
                    head.append((char) b);
                }
                String id = RawBackend.header(head.toString(), "Id");
                RawBackend.write(
                        s.getOutputStream(),
                        "HTTP/1.1 503 Full\r\nId: " + id + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
                answered.incrementAndGet();
                Thread.sleep(300);
                bodyRemainders.add(new String(in.readNBytes(BODY_BYTES), StandardCharsets.ISO_8859_1));
            }
        } catch (IOException e) {
            // The gateway has reset the connection; the bytes received before it are checked.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void nothingElseIsSentInPlaceOfTheRestOfALongBody() throws Exception {
        try (ServerSocket listener = new ServerSocket()) {
            listener.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            Thread t = new Thread(() -> accept(listener), "early-backend");
            t.setDaemon(true);
            t.start();
            platform = new FakePlatform(configuration(), List.of(server("b1", listener.getLocalPort())));
            node = GatewayNode.open(platform);
            await(() -> status(platform.readinessUrl()) == 200);
            for (int i = 0; i < 8; i++) {
                HttpRequest r = request("/unsafe/x")
                        .POST(HttpRequest.BodyPublishers.ofString("a".repeat(BODY_BYTES)))
                        .build();
                assertThat(http.send(r, HttpResponse.BodyHandlers.ofString()).statusCode())
                        .isEqualTo(503);
            }
            await(() -> bodyRemainders.size() >= 1);
        }
        assertThat(answered.get()).isAtLeast(2);
        for (String rest : bodyRemainders) {
            assertThat(rest.chars().allMatch(c -> c == 'a')).isTrue();
        }
    }
}
