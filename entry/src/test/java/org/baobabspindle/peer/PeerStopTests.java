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
    private static final PeerMessage ASK = new PeerMessage.TokensAsk(ClientAccountId.of("acme"), 1);
    private static final PeerMessage ANSWER = new PeerMessage.TokensAnswer(1);

    private final PeerSecret secret = new PeerSecret("a-secret-for-tests");
    private final PeerTraffic traffic = new PeerTraffic();

    @RepeatedTest(50)
    @Timeout(value = 10, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void aServerEndsAlsoWhenItsWorkersHaveEndedBefore() throws Exception {
        ExecutorService workers = Executors.newCachedThreadPool();
        ExecutorService others = Executors.newCachedThreadPool();
        PeerServer server = PeerServer.start("127.0.0.1", 0, secret, workers, ask -> ANSWER, traffic);
        try (PeerClient client = new PeerClient(Incarnation.of("a", 1), secret, others, traffic)) {
            PeerAddress address = new PeerAddress("127.0.0.1", server.port());
            assertThat(client.ask(address, ASK, Duration.ofSeconds(5)).join()).isEqualTo(ANSWER);
            workers.shutdownNow();
            server.close();
        } finally {
            others.shutdownNow();
        }
    }

    @RepeatedTest(50)
    @Timeout(value = 10, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void aClientEndsAlsoWhenItsWorkersHaveEndedBefore() throws Exception {
        ExecutorService workers = Executors.newCachedThreadPool();
        ExecutorService others = Executors.newCachedThreadPool();
        PeerClient client = new PeerClient(Incarnation.of("a", 1), secret, workers, traffic);
        try (PeerServer server = PeerServer.start("127.0.0.1", 0, secret, others, ask -> ANSWER, traffic)) {
            PeerAddress address = new PeerAddress("127.0.0.1", server.port());
            assertThat(client.ask(address, ASK, Duration.ofSeconds(5)).join()).isEqualTo(ANSWER);
            workers.shutdownNow();
            client.close();
        } finally {
            others.shutdownNow();
        }
    }
}
