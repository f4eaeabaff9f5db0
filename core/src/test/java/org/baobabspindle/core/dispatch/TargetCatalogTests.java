package org.baobabspindle.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.CallerLimits;
import org.baobabspindle.core.fleet.FleetConfiguration;
import org.baobabspindle.core.fleet.FleetService;
import org.baobabspindle.core.fleet.GroupKey;
import org.baobabspindle.core.fleet.MemberState;
import org.baobabspindle.core.fleet.ServerState;
import org.baobabspindle.core.formation.Engines;
import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.core.id.InstanceId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests that draining servers and incomplete or unopened groups receive no requests. */
class TargetCatalogTests {
    private static final GroupKey KEY = new GroupKey("g", 7);
    private static final FleetConfiguration CONFIGURATION = new FleetConfiguration(
            1,
            List.of(),
            List.of(
                    new FleetService("desk", 100, "/health", Optional.empty()),
                    new FleetService("pool", 100, "/health", Optional.of(Engines.PROFILE))),
            Map.of(),
            true,
            new CallerLimits(8_000, 1_000_000, Duration.ofSeconds(5), Duration.ofSeconds(30)));

    private static List<Target> targets(String service, String model, List<BackendServer> servers) {
        return TargetCatalog.of(CONFIGURATION, servers).targets(new TargetPool(service, model));
    }

    @Nested
    class PlainServers {
        private static BackendServer server(String id, ServerState state) {
            return new BackendServer(
                    InstanceId.of(id),
                    "desk",
                    "10.0.0.1",
                    8080,
                    AvailabilityZone.of("z1"),
                    state,
                    6,
                    1,
                    Optional.empty(),
                    Optional.empty(),
                    Optional.empty(),
                    Optional.empty());
        }

        @Test
        void excludesADrainingServer() {
            List<Target> targets =
                    targets("desk", "", List.of(server("b1", ServerState.DRAINING), server("b2", ServerState.READY)));
            assertThat(targets.stream().map(t -> t.server().id().value()).toList())
                    .containsExactly("b2");
        }
    }

    @Nested
    class Groups {
        private static List<BackendServer> group(MemberState head, MemberState others) {
            List<BackendServer> members = new ArrayList<>();
            for (int rank = 0; rank < 4; rank++) {
                BackendServer engine = Engines.free("e" + rank, "d1");
                members.add(Engines.member(engine, KEY, rank, Engines.LARGE, rank == 0 ? head : others));
            }
            return members;
        }

        private static List<Target> groupTargets(List<BackendServer> members) {
            return targets("pool", Engines.LARGE.name(), members);
        }

        @Test
        void includesACompleteGroupWithAnOpenHead() {
            assertThat(groupTargets(group(MemberState.OPEN, MemberState.READY))).hasSize(1);
        }

        @Test
        void excludesAGroupWhoseHeadIsNotOpen() {
            assertThat(groupTargets(group(MemberState.READY, MemberState.READY)))
                    .isEmpty();
        }

        @Test
        void excludesAGroupWithAMissingMember() {
            List<BackendServer> members = group(MemberState.OPEN, MemberState.READY);
            members.remove(2);
            assertThat(groupTargets(members)).isEmpty();
        }

        @Test
        void excludesAGroupWithADrainingMember() {
            List<BackendServer> members = group(MemberState.OPEN, MemberState.READY);
            members.set(3, Engines.draining(members.get(3)));
            assertThat(groupTargets(members)).isEmpty();
        }
    }
}
