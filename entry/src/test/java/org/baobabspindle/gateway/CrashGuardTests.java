package org.baobabspindle.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import org.baobabspindle.core.crash.SuspectRequest;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.id.RequestFingerprint;
import org.baobabspindle.logging.EventLog;
import org.baobabspindle.port.Feed;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class CrashGuardTests {
    private static final List<BackendServer> SERVERS =
            List.of(GatewayTestSupport.server("b1", 7001), GatewayTestSupport.server("b2", 7002));

    private final GatewayClock clock = new GatewayClock();
    private final SuspectRequest request = new SuspectRequest(RequestFingerprint.of("a"), List.of());
    private CrashGuard guard;

    @BeforeEach
    void create() throws Exception {
        FakePlatform platform = new FakePlatform(GatewayTestSupport.configuration(), SERVERS);
        FleetTable fleet = new FleetTable(platform, new EventLog());
        fleet.serversRead(platform.readLatest(Feed.BACKEND_SERVERS).join(), true, clock.now());
        guard = new CrashGuard(fleet, platform, clock, new EventLog(), new GatewayMetrics(), new SplittableRandom(1));
    }

    private void breakAtEachServer() {
        SERVERS.forEach(s -> guard.requestBroken(request, false, "r1", s, clock.now()));
    }

    private boolean isQuarantined() {
        return guard.quarantinedFor(() -> request, clock.now()).isPresent();
    }

    @Test
    void requestThatWasBrokenAtSeveralServersIsQuarantined() {
        breakAtEachServer();
        assertThat(isQuarantined()).isTrue();
    }

    /** A partition breaks the requests at all servers shortly before it is detected. */
    @Test
    void requestsThatAPartitionBreaksAreNotQuarantined() {
        breakAtEachServer();
        guard.partitionBegan();
        assertThat(isQuarantined()).isFalse();
        breakAtEachServer();
        assertThat(isQuarantined()).isFalse();
    }

    @Test
    void requestsAreQuarantinedAgainAfterAPartition() {
        guard.partitionBegan();
        guard.partitionEnded();
        breakAtEachServer();
        assertThat(isQuarantined()).isTrue();
    }
}
