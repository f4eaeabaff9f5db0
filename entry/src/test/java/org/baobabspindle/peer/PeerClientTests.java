package org.baobabspindle.peer;

import static com.google.common.truth.Truth.assertThat;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.baobabspindle.core.id.ClientAccountId;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.Region;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(20)
class PeerClientTests {
    private static final Incarnation SELF = Incarnation.of("a", 1);
    private static final PeerMessage SLOW_REQUEST = new PeerMessage.TokensAsk(ClientAccountId.of("acme"), 1);
    private static final PeerMessage UNANSWERED_REQUEST = new PeerMessage.VersionAsk(Region.of("r"));
    private static final PeerMessage REPLY = new PeerMessage.TokensAnswer(1);
    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(100);
    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(10);

    private final ExecutorService workers = Executors.newCachedThreadPool();
    private final PeerSecret secret = new PeerSecret("a-secret-for-tests");
    private final PeerTraffic traffic = new PeerTraffic();

    @AfterEach
    void stop() {
        workers.shutdownNow();
    }

    private static PeerMessage reply(PeerMessage request) {
        try {
            Thread.sleep(request.equals(UNANSWERED_REQUEST) ? LONG_TIMEOUT.toMillis() : 600);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return REPLY;
    }

    private static boolean fails(CompletableFuture<PeerMessage> reply) {
        return reply.handle((m, e) -> e != null).join();
    }

    @Test
    void timeoutDoesNotFailOtherRequestsOnTheSameConnection() throws Exception {
        try (PeerServer server = PeerServer.start("127.0.0.1", 0, secret, workers, PeerClientTests::reply, traffic);
                PeerClient client = new PeerClient(SELF, secret, workers, traffic)) {
            PeerAddress address = new PeerAddress("127.0.0.1", server.port());
            CompletableFuture<PeerMessage> slow = client.ask(address, SLOW_REQUEST, LONG_TIMEOUT);
            assertThat(fails(client.ask(address, UNANSWERED_REQUEST, SHORT_TIMEOUT)))
                    .isTrue();
            assertThat(slow.join()).isEqualTo(REPLY);
        }
    }

    @Test
    void timeoutDuringConnectionSetupDoesNotFailOtherRequests() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
                PeerClient client = new PeerClient(SELF, secret, workers, traffic)) {
            workers.execute(() -> serveWithDelayedChallenge(listener));
            PeerAddress address = new PeerAddress("127.0.0.1", listener.getLocalPort());
            CompletableFuture<PeerMessage> slow = client.ask(address, SLOW_REQUEST, LONG_TIMEOUT);
            assertThat(fails(client.ask(address, UNANSWERED_REQUEST, SHORT_TIMEOUT)))
                    .isTrue();
            assertThat(slow.join()).isEqualTo(REPLY);
        }
    }

    /** Accepts one connection, sends the challenge after 400 ms and replies only to requests equal to {@link #SLOW_REQUEST}. */
    private static void serveWithDelayedChallenge(ServerSocket listener) {
        try (Socket socket = listener.accept()) {
            Thread.sleep(400);
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            DataInputStream in = new DataInputStream(socket.getInputStream());
            FrameCodec.write(out, new PeerFrame(0, false, new PeerMessage.Challenge("00")));
            while (true) {
                PeerFrame frame = FrameCodec.read(in, FrameCodec.MAX_FRAME_BYTES);
                if (frame.message().equals(SLOW_REQUEST)) {
                    FrameCodec.write(out, new PeerFrame(frame.id(), true, REPLY));
                }
            }
        } catch (IOException e) {
            assertThat(e).isNotNull();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void opensNewConnectionAfterRequestTimedOut() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
                PeerClient client = new PeerClient(SELF, secret, workers, traffic)) {
            workers.execute(() -> serveWithDelayedChallenge(listener));
            PeerAddress address = new PeerAddress("127.0.0.1", listener.getLocalPort());
            assertThat(fails(client.ask(address, UNANSWERED_REQUEST, SHORT_TIMEOUT)))
                    .isTrue();
            workers.execute(() -> serveWithDelayedChallenge(listener));
            assertThat(client.ask(address, SLOW_REQUEST, LONG_TIMEOUT).join()).isEqualTo(REPLY);
        }
    }
}
