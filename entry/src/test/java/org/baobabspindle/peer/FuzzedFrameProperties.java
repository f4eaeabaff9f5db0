package org.baobabspindle.peer;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.baobabspindle.core.id.ConfigurationVersion;
import org.baobabspindle.core.id.GroupId;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.Region;
import org.junit.jupiter.api.Test;

class FuzzedFrameProperties {
    private static final Incarnation A = Incarnation.of("a", 1);
    private static final List<PeerFrame> FRAMES = List.of(
            new PeerFrame(1, false, new PeerMessage.VersionAsk(Region.of("r"))),
            new PeerFrame(2, true, new PeerMessage.VersionAnswer(A, ConfigurationVersion.of(4), 2)),
            new PeerFrame(3, false, new PeerMessage.GroupsAsk(List.of(GroupId.of(7)))),
            new PeerFrame(4, false, new PeerMessage.Proof(A, "00")));

    @Property(tries = 3_000, seed = "20261208")
    void decodesCorruptedFrameOrThrowsIoException(@ForAll long seed) {
        Random random = new Random(seed);
        byte[] body = FrameCodec.encodeBody(FRAMES.get(random.nextInt(FRAMES.size())));
        for (int i = 0; i <= random.nextInt(4); i++) {
            body[random.nextInt(body.length)] = (byte) random.nextInt(256);
        }
        try {
            assertThat(FrameCodec.decodeBody(body).message()).isNotNull();
        } catch (IOException e) {
            assertThat(e).hasMessageThat().isNotEmpty();
        }
    }

    @Property(tries = 500, seed = "20261209")
    void throwsOnlyIoExceptionForArbitraryBytes(@ForAll byte[] bytes) {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
        try {
            FrameCodec.read(in, 1_000);
        } catch (IOException e) {
            assertThat(e).isNotNull();
        }
    }

    @Test
    void answersAuthenticatedClientAfterReceivingMalformedFrames() throws Exception {
        ExecutorService workers = Executors.newCachedThreadPool();
        PeerSecret secret = new PeerSecret("a-secret-for-tests");
        PeerTraffic traffic = new PeerTraffic();
        PeerMessage reply = new PeerMessage.TokensAnswer(3);
        try (PeerServer server = PeerServer.start("127.0.0.1", 0, secret, workers, m -> reply, traffic)) {
            for (int i = 0; i < 20; i++) {
                try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
                    DataOutputStream out = new DataOutputStream(socket.getOutputStream());
                    out.writeInt(i * 1_000_003);
                    out.write(new byte[200]);
                    out.flush();
                }
            }
            PeerAddress address = new PeerAddress("127.0.0.1", server.port());
            PeerMessage request = new PeerMessage.VersionAsk(Region.of("r"));
            try (PeerClient unauthenticated =
                            new PeerClient(A, new PeerSecret("another-secret-here"), workers, traffic);
                    PeerClient authenticated = new PeerClient(A, secret, workers, traffic)) {
                assertThat(unauthenticated
                                .ask(address, request, Duration.ofSeconds(2))
                                .handle((m, e) -> e != null)
                                .join())
                        .isTrue();
                assertThat(authenticated
                                .ask(address, request, Duration.ofSeconds(10))
                                .join())
                        .isEqualTo(reply);
            }
        } finally {
            workers.shutdownNow();
        }
    }
}
