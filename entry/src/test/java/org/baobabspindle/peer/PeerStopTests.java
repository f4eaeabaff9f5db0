package org.baobabspindle.peer;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.baobabspindle.core.id.ClientAccountId;
import org.baobabspindle.core.id.Incarnation;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Timeout;

class PeerStopTests {
    private static final PeerMessage REQUEST = new PeerMessage.TokensAsk(ClientAccountId.of("acme"), 1);
    private static final PeerMessage REPLY = new PeerMessage.TokensAnswer(1);

    private final PeerSecret secret = new PeerSecret("a-secret-for-tests");
    private final PeerTraffic traffic = new PeerTraffic();

    @RepeatedTest(50)
    @Timeout(value = 10, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void serverStopsAfterItsWorkersWereShutDown() throws Exception {
        ExecutorService workers = Executors.newCachedThreadPool();
        ExecutorService otherWorkers = Executors.newCachedThreadPool();
        PeerServer server = PeerServer.start("127.0.0.1", 0, secret, workers, request -> REPLY, traffic);
        try (PeerClient client = new PeerClient(Incarnation.of("a", 1), secret, otherWorkers, traffic)) {
            PeerAddress address = new PeerAddress("127.0.0.1", server.port());
            assertThat(client.ask(address, REQUEST, Duration.ofSeconds(5)).join())
                    .isEqualTo(REPLY);
            workers.shutdownNow();
            server.close();
        } finally {
            otherWorkers.shutdownNow();
        }
    }

    @RepeatedTest(50)
    @Timeout(value = 10, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void clientStopsAfterItsExecutorWasShutDown() throws Exception {
        ExecutorService workers = Executors.newCachedThreadPool();
        ExecutorService otherWorkers = Executors.newCachedThreadPool();
        PeerClient client = new PeerClient(Incarnation.of("a", 1), secret, workers, traffic);
        try (PeerServer server = PeerServer.start("127.0.0.1", 0, secret, otherWorkers, request -> REPLY, traffic)) {
            PeerAddress address = new PeerAddress("127.0.0.1", server.port());
            assertThat(client.ask(address, REQUEST, Duration.ofSeconds(5)).join())
                    .isEqualTo(REPLY);
            workers.shutdownNow();
            client.close();
        } finally {
            otherWorkers.shutdownNow();
        }
    }
}
