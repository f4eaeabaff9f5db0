package org.baobabspindle.core.formation;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.EngineModel;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Domains of 11 engines with groups of 6 and of 3, as in further/plumes-mbour.toml. */
class StagingPlannerTests {
    private final Fleets fleets = new Fleets(6, 3);

    private FleetPlan.DomainPlan plan(DomainState state, double wantedLarge, double wantedSmall) {
        return fleets.plan(List.of(state), wantedLarge, wantedSmall).domains().get(0);
    }

    @Nested
    class Spares {
        @Test
        void eachKindOfGroupFindsAReplacement() {
            DomainState state = fleets.domain("d0", 1, 1, Fleets.empty("d0", 2));
            List<String> staged = new ArrayList<>();
            StagingPlanner.plan(plan(state, 12, 6)).forEach(b -> {
                assertThat(b.servers()).hasSize(1);
                assertThat(b.forGroup()).isFalse();
                staged.add(b.model().name());
            });
            assertThat(staged).containsExactly("large", "small");
        }

        @Test
        void aSpareThatHoldsWhatIsNeededKeepsIt() {
            List<BackendServer> spares = new ArrayList<>();
            spares.add(Engines.staging(Fleets.empty("d0", 1).get(0), fleets.small()));
            spares.add(Fleets.empty("d0", 2).get(1));
            DomainState state = fleets.domain("d0", 1, 1, spares);
            List<StagingPlanner.Batch> batches = StagingPlanner.plan(plan(state, 12, 6));
            assertThat(batches).hasSize(1);
            assertThat(batches.get(0).model()).isEqualTo(fleets.large());
            assertThat(batches.get(0).servers()).containsExactly(spares.get(1));
        }
    }

    /** A group that waited for a load without serving stood still for 16 s. */
    @Test
    void donorsServeOnUntilTheirHostsHoldTheWeights() {
        List<BackendServer> free = fleets.engines("d0", "survivor", fleets.large(), 4);
        List<DomainState.Group> groups = new ArrayList<>();
        DomainState bare = fleets.domain("d0", 0, 2, free);
        for (DomainState.Group g : bare.groups()) {
            List<BackendServer> members = g.members().stream()
                    .map(s -> Engines.staging(s, fleets.small()))
                    .toList();
            groups.add(new DomainState.Group(g.key(), g.model(), members, true));
        }
        FleetPlan.DomainPlan plan = plan(new DomainState(bare.domain(), groups, free, List.of(), Map.of()), 90, 18);
        assertThat(plan.donors()).hasSize(1);
        assertThat(plan.nextDonors()).isEmpty();
        List<StagingPlanner.Batch> batches = StagingPlanner.plan(plan);
        assertThat(batches.get(0).model()).isEqualTo(fleets.large());
        assertThat(batches.get(0).servers()).hasSize(2);
    }

    @Nested
    class Stock {
        private DomainStock stock(Map<String, String> staging) {
            return new DomainStock(
                    fleets.situation(1).profile(), s -> Optional.ofNullable(staging.get(s.id().value())));
        }

        /** All engines of a dark domain start anew and know no model but the one on their hosts. */
        @Test
        void theHostsOfADomainTogetherHoldAGroupOfEachModel() {
            DomainStock stock = stock(Map.of());
            List<BackendServer> hosts = new ArrayList<>();
            hosts.addAll(bare(fleets.engines("d0", "l", fleets.large(), 6)));
            hosts.addAll(bare(fleets.engines("d0", "s", fleets.small(), 3)));
            hosts.forEach(stock::count);
            int large = 0;
            int small = 0;
            for (BackendServer s : hosts) {
                Optional<EngineModel> model = stock.wanted(s);
                stock.replace(s, model.orElseThrow());
                large += model.get().equals(fleets.large()) ? 1 : 0;
                small += model.get().equals(fleets.small()) ? 1 : 0;
            }
            assertThat(large).isEqualTo(6);
            assertThat(small).isEqualTo(3);
        }

        /** Domains of ten with one group of four and three of two: two of these can become one of four at once. */
        @Test
        void hostsThatCanBeSparedHoldTheModelThatTheirGroupDoesNotHave() {
            Fleets pairs = new Fleets(4, 2);
            DomainStock stock = new DomainStock(pairs.situation(1).profile(), s -> Optional.empty());
            List<BackendServer> large = loaded(pairs.engines("d0", "l", pairs.large(), 4));
            List<BackendServer> small = loaded(pairs.engines("d0", "s", pairs.small(), 6));
            large.forEach(stock::count);
            small.forEach(stock::count);
            int toLarge = 0;
            for (BackendServer s : small) {
                Optional<EngineModel> wanted = stock.wanted(s);
                wanted.ifPresent(m -> stock.replace(s, m));
                toLarge += wanted.equals(Optional.of(pairs.large())) ? 1 : 0;
            }
            assertThat(toLarge).isEqualTo(4);
            assertThat(stock.wanted(small.get(5))).isEqualTo(Optional.empty());
        }

        /** Returns engines whose hosts hold the model of their group, as after a load. */
        private List<BackendServer> loaded(List<BackendServer> engines) {
            return engines.stream()
                    .map(s -> new BackendServer(
                            s.id(),
                            s.service(),
                            s.host(),
                            s.port(),
                            s.zone(),
                            s.state(),
                            s.slots(),
                            s.bornMillis(),
                            s.domain(),
                            s.model(),
                            s.model(),
                            s.group()))
                    .toList();
        }

        @Test
        void aHostWhoseModelIsNeededKeepsIt() {
            DomainStock stock = stock(Map.of());
            List<BackendServer> hosts = fleets.engines("d0", "l", fleets.large(), 3);
            hosts.forEach(stock::count);
            hosts.forEach(s -> assertThat(stock.wanted(s)).isEqualTo(Optional.empty()));
        }

        private List<BackendServer> bare(List<BackendServer> engines) {
            return engines.stream()
                    .map(s -> Engines.free(s.id().value(), "d0").withModel(s.model()))
                    .toList();
        }
    }
}
