package org.baobabspindle.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.baobabspindle.core.fleet.AccountPolicy;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.CallerLimits;
import org.baobabspindle.core.fleet.EngineModel;
import org.baobabspindle.core.fleet.EngineProfile;
import org.baobabspindle.core.fleet.FleetConfiguration;
import org.baobabspindle.core.fleet.FleetService;
import org.baobabspindle.core.fleet.GroupKey;
import org.baobabspindle.core.fleet.GroupMembership;
import org.baobabspindle.core.fleet.MemberState;
import org.baobabspindle.core.fleet.Route;
import org.baobabspindle.core.fleet.RouteKind;
import org.baobabspindle.core.fleet.ServerState;
import org.baobabspindle.core.fleet.WeightedService;
import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.core.id.ClientAccountId;
import org.baobabspindle.core.id.FabricDomain;
import org.baobabspindle.core.id.InstanceId;
import org.junit.jupiter.api.Test;

/**
 * Tests that a stream is quarantined after two heads crashed while running it: each head becomes unresponsive while the other
 * member of its group responds, and is then listed with a later start.
 */
class SilentHeadTests extends GatewayTestSupport {
    private static final EngineModel MODEL =
            new EngineModel("small", 2, 1, 1, Duration.ofSeconds(12), Duration.ofSeconds(1));
    private static final long FIRST_START = 1;
    private static final long LATER_START = 2;

    private static FleetConfiguration groups() {
        EngineProfile profile =
                new EngineProfile(12, 7.8, 0.134, 45_900, 5, 5, 7, Duration.ofMillis(300), List.of(MODEL));
        Route route = new Route(
                "stream",
                "127.0.0.1",
                "/stream/",
                RouteKind.STREAM,
                true,
                false,
                Duration.ofSeconds(6),
                Duration.ofMillis(400),
                Duration.ZERO,
                1,
                2,
                List.of(new WeightedService("pool", 1)));
        return new FleetConfiguration(
                1,
                List.of(route),
                List.of(new FleetService("pool", 100, "/health", Optional.of(profile))),
                Map.of("a-key", new AccountPolicy(ClientAccountId.of("acme"), OptionalInt.empty())),
                true,
                new CallerLimits(8_000, 1_000_000, Duration.ofSeconds(5), Duration.ofSeconds(30)));
    }

    private static BackendServer engine(
            String id, int port, String domain, long startedAt, Optional<GroupMembership> group) {
        return new BackendServer(
                InstanceId.of(id),
                "pool",
                "127.0.0.1",
                port,
                AvailabilityZone.of("z1"),
                ServerState.READY,
                12,
                startedAt,
                Optional.of(FabricDomain.of(domain)),
                Optional.of(MODEL.name()),
                Optional.empty(),
                group);
    }

    /** Starts two groups in two domains whose heads send one event and then stall. */
    private void startGroups() throws Exception {
        List<BackendServer> engines = new ArrayList<>();
        for (String domain : List.of("d1", "d2")) {
            RawBackend head = new RawBackend((request, out, socket) -> {
                RawBackend.write(out, String.format(EVENTS_HEAD, RawBackend.header(request, "Id")) + chunk(event(1)));
                RawBackend.awaitClose(socket);
            });
            backends.add(head);
            GroupKey key = new GroupKey("g-" + domain, 1);
            GroupMembership first = new GroupMembership(key, 0, MemberState.OPEN);
            GroupMembership second = new GroupMembership(key, 1, MemberState.READY);
            engines.add(engine("head-" + domain, head.port(), domain, FIRST_START, Optional.of(first)));
            engines.add(engine("other-" + domain, head.port(), domain, FIRST_START, Optional.of(second)));
        }
        platform = new FakePlatform(groups(), engines);
        for (String domain : List.of("d1", "d2")) {
            platform.makeUnresponsive(InstanceId.of("head-" + domain));
        }
        node = GatewayNode.open(platform);
        await(() -> status(platform.readinessUrl()) == 200);
    }

    private HttpResponse<String> send() throws Exception {
        HttpRequest r = request("/stream/x")
                .header("Model", MODEL.name())
                .POST(HttpRequest.BodyPublishers.ofString("prompt"))
                .build();
        return http.send(r, HttpResponse.BodyHandlers.ofString());
    }

    private double retryAfterSeconds() {
        try {
            return Double.parseDouble(send().headers().firstValue("Retry-After").orElse("0"));
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void streamIsQuarantinedAfterTwoHeadsCrashedUnderIt() throws Exception {
        startGroups();
        boolean aborted = false;
        try {
            send();
        } catch (IOException e) {
            aborted = true;
        }
        assertThat(aborted).isTrue();
        assertThat(retryAfterSeconds()).isEqualTo(1);
        for (int i = 0; i < 2; i++) {
            String domain = "d" + (i + 1);
            platform.relist(engine("head-" + domain, backends.get(i).port(), domain, LATER_START, Optional.empty()));
        }
        await(() -> retryAfterSeconds() > 20);
        assertThat(backends.get(0).requests().size()
                        + backends.get(1).requests().size())
                .isEqualTo(2);
    }
}
