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
    private static final PeerMessage SLOW = new PeerMessage.TokensAsk(ClientAccountId.of("acme"), 1);
    private static final PeerMessage UNANSWERED = new PeerMessage.VersionAsk(Region.of("r"));
    private static final PeerMessage ANSWER = new PeerMessage.TokensAnswer(1);
    private static final Duration SHORT = Duration.ofMillis(100);
    private static final Duration LONG = Duration.ofSeconds(10);

    private final ExecutorService workers = Executors.newCachedThreadPool();
    private final PeerSecret secret = new PeerSecret("a-secret-for-tests");
    private final PeerTraffic traffic = new PeerTraffic();

    @AfterEach
    void stop() {
        workers.shutdownNow();
    }

    private static PeerMessage answer(PeerMessage ask) {
        try {
            Thread.sleep(ask.equals(UNANSWERED) ? LONG.toMillis() : 600);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return ANSWER;
    }

    private static boolean fails(CompletableFuture<PeerMessage> answer) {
        return answer.handle((m, e) -> e != null).join();
    }

    @Test
    void aQuestionThatTimesOutDoesNotBreakOthersOnItsConnection() throws Exception {
        try (PeerServer server = PeerServer.start("127.0.0.1", 0, secret, workers, PeerClientTests::answer, traffic);
                PeerClient client = new PeerClient(SELF, secret, workers, traffic)) {
            PeerAddress address = new PeerAddress("127.0.0.1", server.port());
            CompletableFuture<PeerMessage> slow = client.ask(address, SLOW, LONG);
            assertThat(fails(client.ask(address, UNANSWERED, SHORT))).isTrue();
            assertThat(slow.join()).isEqualTo(ANSWER);
        }
    }

    @Test
    void aQuestionThatTimesOutWhileTheConnectionOpensDoesNotBreakOthers() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
                PeerClient client = new PeerClient(SELF, secret, workers, traffic)) {
            workers.execute(() -> challengeLate(listener));
            PeerAddress address = new PeerAddress("127.0.0.1", listener.getLocalPort());
            CompletableFuture<PeerMessage> slow = client.ask(address, SLOW, LONG);
            assertThat(fails(client.ask(address, UNANSWERED, SHORT))).isTrue();
            assertThat(slow.join()).isEqualTo(ANSWER);
        }
    }

    /** Accepts one connection, challenges it after a while, and answers the first question of the slow kind. */
    private static void challengeLate(ServerSocket listener) {
        try (Socket s = listener.accept()) {
            Thread.sleep(400);
            DataOutputStream out = new DataOutputStream(s.getOutputStream());
            DataInputStream in = new DataInputStream(s.getInputStream());
            FrameCodec.write(out, new PeerFrame(0, false, new PeerMessage.Challenge("00")));
            while (true) {
                PeerFrame frame = FrameCodec.read(in, FrameCodec.MAX_FRAME_BYTES);
                if (frame.message().equals(SLOW)) {
                    FrameCodec.write(out, new PeerFrame(frame.id(), true, ANSWER));
                }
            }
        } catch (IOException e) {
            assertThat(e).isNotNull();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void aConnectionOnWhichAnAnswerStaysOutIsNotUsedAgain() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
                PeerClient client = new PeerClient(SELF, secret, workers, traffic)) {
            workers.execute(() -> challengeLate(listener));
            PeerAddress address = new PeerAddress("127.0.0.1", listener.getLocalPort());
            assertThat(fails(client.ask(address, UNANSWERED, SHORT))).isTrue();
            workers.execute(() -> challengeLate(listener));
            assertThat(client.ask(address, SLOW, LONG).join()).isEqualTo(ANSWER);
        }
    }
}
