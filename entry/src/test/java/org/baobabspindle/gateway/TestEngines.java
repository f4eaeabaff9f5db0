package org.baobabspindle.gateway;

import java.time.Duration;
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
import org.baobabspindle.core.fleet.GroupMembership;
import org.baobabspindle.core.fleet.Route;
import org.baobabspindle.core.fleet.RouteKind;
import org.baobabspindle.core.fleet.ServerState;
import org.baobabspindle.core.fleet.WeightedService;
import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.core.id.ClientAccountId;
import org.baobabspindle.core.id.FabricDomain;
import org.baobabspindle.core.id.InstanceId;

/** Creates engines, and a configuration with a route of streams that they serve. */
final class TestEngines {
    /** A model whose groups have two members. */
    static final EngineModel PAIR_MODEL =
            new EngineModel("small", 2, 1, 1, Duration.ofSeconds(12), Duration.ofSeconds(1));

    private TestEngines() {}

    /** Returns a configuration with one route of streams, which groups of {@link #PAIR_MODEL} serve. */
    static FleetConfiguration configuration() {
        EngineProfile profile =
                new EngineProfile(12, 7.8, 0.134, 45_900, 5, 5, 7, Duration.ofMillis(300), List.of(PAIR_MODEL));
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

    /** Returns an engine of the fabric domain d1. */
    static BackendServer engine(
            String id, Optional<String> model, Optional<String> staged, Optional<GroupMembership> group) {
        return engine(id, 8080, "d1", 1, model, staged, group);
    }

    /** Returns an engine that has loaded {@link #PAIR_MODEL}. */
    static BackendServer pairEngine(
            String id, int port, String domain, long startedAt, Optional<GroupMembership> group) {
        return engine(id, port, domain, startedAt, Optional.of(PAIR_MODEL.name()), Optional.empty(), group);
    }

    private static BackendServer engine(
            String id,
            int port,
            String domain,
            long startedAt,
            Optional<String> model,
            Optional<String> staged,
            Optional<GroupMembership> group) {
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
                model,
                staged,
                group);
    }
}
