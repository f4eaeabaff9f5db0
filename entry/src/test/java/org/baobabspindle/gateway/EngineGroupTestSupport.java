package org.baobabspindle.gateway;

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

/** Base of tests with groups of two engines, each in a failure domain of its own, whose heads send streams. */
abstract class EngineGroupTestSupport extends GatewayTestSupport {
    static final EngineModel MODEL = new EngineModel("small", 2, 1, 1, Duration.ofSeconds(12), Duration.ofSeconds(1));
    static final long FIRST_START = 1;
    static final int DEFAULT_SLOTS = 12;

    /** The streams of a route, which are resumed at another group or not. */
    enum Streams {
        RESUMABLE,
        NOT_RESUMABLE
    }

    static FleetConfiguration groups(Streams streams) {
        return groups(streams, 1, DEFAULT_SLOTS, "a-key");
    }

    static FleetConfiguration groups(Streams streams, long version, int slots, String apiKey) {
        EngineProfile profile =
                new EngineProfile(slots, 7.8, 0.134, 45_900, 5, 5, 7, Duration.ofMillis(300), List.of(MODEL));
        Route route = new Route(
                "stream",
                "127.0.0.1",
                "/stream/",
                RouteKind.STREAM,
                streams == Streams.RESUMABLE,
                false,
                Duration.ofSeconds(6),
                Duration.ofMillis(400),
                Duration.ZERO,
                1,
                2,
                List.of(new WeightedService("pool", 1)));
        return new FleetConfiguration(
                version,
                List.of(route),
                List.of(new FleetService("pool", 100, "/health", Optional.of(profile))),
                Map.of(apiKey, new AccountPolicy(ClientAccountId.of("acme"), OptionalInt.empty())),
                true,
                new CallerLimits(8_000, 1_000_000, Duration.ofSeconds(5), Duration.ofSeconds(30)));
    }

    static BackendServer engine(String id, int port, String domain, long startedAt, Optional<GroupMembership> group) {
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

    /** Starts an entry before one group for each domain; the heads {@code head-DOMAIN} follow the script. */
    void startGroups(Streams streams, List<String> domains, RawBackend.Script script) throws Exception {
        startGroups(groups(streams), domains, script);
    }

    void startGroups(FleetConfiguration configuration, List<String> domains, RawBackend.Script script)
            throws Exception {
        List<BackendServer> engines = new ArrayList<>();
        for (String domain : domains) {
            RawBackend head = new RawBackend(script);
            backends.add(head);
            GroupKey key = new GroupKey("g-" + domain, 1);
            GroupMembership first = new GroupMembership(key, 0, MemberState.OPEN);
            GroupMembership second = new GroupMembership(key, 1, MemberState.READY);
            engines.add(engine("head-" + domain, head.port(), domain, FIRST_START, Optional.of(first)));
            engines.add(engine("other-" + domain, head.port(), domain, FIRST_START, Optional.of(second)));
        }
        platform = new FakePlatform(configuration, engines);
        for (String domain : domains) {
            platform.makeUnresponsive(InstanceId.of("head-" + domain));
        }
        node = GatewayNode.open(platform);
        await(() -> status(platform.readinessUrl()) == 200);
    }

    HttpRequest streamRequest() {
        return request("/stream/x")
                .header("Model", MODEL.name())
                .POST(HttpRequest.BodyPublishers.ofString("prompt"))
                .build();
    }

    HttpResponse<String> sendStream() throws Exception {
        return http.send(streamRequest(), HttpResponse.BodyHandlers.ofString());
    }
}
