package org.baobabspindle.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.peer.PeerClient;
import org.baobabspindle.peer.PeerMessage;
import org.baobabspindle.peer.PeerSecret;
import org.baobabspindle.peer.PeerTraffic;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests which reports of other entries about unresponsive engines a keeper examines. */
class SuspicionReportTests extends GatewayTestSupport {
    private static final InstanceId ENGINE = InstanceId.of("e0");
    private static final Incarnation REPORTER = Incarnation.of("reporter", 1);

    private final SwitchedLink link = new SwitchedLink();
    private final ExecutorService workers = Executors.newFixedThreadPool(2);
    private PeerClient client;
    private EntryAnnouncement keeper;

    @BeforeEach
    void startKeeper() throws Exception {
        BackendServer engine = TestEngines.engine("e0", Optional.empty(), Optional.empty(), Optional.empty());
        platform = new FakePlatform(configuration(), List.of(engine));
        platform.grantPartitions(Set.of(0));
        EntryAnnouncement reporter = new EntryAnnouncement(
                REPORTER, "127.0.0.1", 1, platform.callerPort(), AvailabilityZone.of("z1"), "a-secret-for-tests");
        platform.announce("reporter", reporter.toJson());
        node = GatewayNode.open(platform, link::replaceIn);
        await(() -> status(platform.readinessUrl()) == 200);
        keeper = platform.announcement("entry");
        client = new PeerClient(REPORTER, new PeerSecret(keeper.secret()), workers, new PeerTraffic());
        await(() -> probesAfterReport() > 0);
    }

    @AfterEach
    void closeClient() {
        client.close();
        workers.shutdownNow();
    }

    private void send(PeerMessage message) {
        client.ask(keeper.peerAddress(), message, Duration.ofSeconds(5)).join();
    }

    private void sendState(boolean reporterPartitioned) {
        send(new PeerMessage.PulseAsk(
                REPORTER,
                new PeerMessage.Pulse(
                        true,
                        1,
                        0,
                        Map.of(),
                        Map.of(),
                        Map.of(),
                        List.of(),
                        List.of(),
                        false,
                        0,
                        reporterPartitioned)));
    }

    /** Reports the engine and returns how many times it was probed because of the report. */
    private int probesAfterReport() {
        int before = platform.probesOf(ENGINE);
        send(new PeerMessage.EnginesSuspected(REPORTER.instance(), List.of(ENGINE)));
        return platform.probesOf(ENGINE) - before;
    }

    @Test
    void ignoresReportsOfPartitionedEntry() throws Exception {
        await(() -> {
            sendState(true);
            return probesAfterReport() == 0;
        });
        sendState(false);
        assertThat(probesAfterReport()).isEqualTo(1);
    }

    @Test
    void ignoresReportsWhilePartitionedItself() {
        link.cut();
        assertThat(probesAfterReport()).isEqualTo(0);
    }
}
