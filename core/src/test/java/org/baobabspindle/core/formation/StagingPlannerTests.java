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

/** Uses domains of 11 engines with groups of 6 and of 3, as in further/plumes-mbour.toml. */
class StagingPlannerTests {
    private final Fleets fleets = new Fleets(6, 3);

    private FleetPlan.DomainPlan plan(DomainState state, double demandLarge, double demandSmall) {
        return fleets.plan(List.of(state), demandLarge, demandSmall).domains().get(0);
    }

    @Nested
    class Spares {
        @Test
        void sparesStageModelOfEachGroup() {
            DomainState state = fleets.domain("d0", 1, 1, Fleets.enginesWithoutWeights("d0", 2));
            List<String> staged = new ArrayList<>();
            StagingPlanner.plan(plan(state, 12, 6)).forEach(b -> {
                assertThat(b.servers()).hasSize(1);
                assertThat(b.forGroup()).isFalse();
                staged.add(b.model().name());
            });
            assertThat(staged).containsExactly("large", "small");
        }

        @Test
        void keepsModelOfSpareThatIsNeeded() {
            List<BackendServer> spares = new ArrayList<>();
            spares.add(Engines.withStaged(Fleets.enginesWithoutWeights("d0", 1).get(0), fleets.small()));
            spares.add(Fleets.enginesWithoutWeights("d0", 2).get(1));
            DomainState state = fleets.domain("d0", 1, 1, spares);
            List<StagingPlanner.Batch> batches = StagingPlanner.plan(plan(state, 12, 6));
            assertThat(batches).hasSize(1);
            assertThat(batches.get(0).model()).isEqualTo(fleets.large());
            assertThat(batches.get(0).servers()).containsExactly(spares.get(1));
        }
    }

    /** Guards against dissolving donors before the load: the engines then served nothing for 16 s. */
    @Test
    void donorsKeepServingUntilHostsHoldWeights() {
        List<BackendServer> free = fleets.engines("d0", "survivor", fleets.large(), 4);
        List<DomainState.Group> groups = new ArrayList<>();
        DomainState withoutStaging = fleets.domain("d0", 0, 2, free);
        for (DomainState.Group g : withoutStaging.groups()) {
            List<BackendServer> members = g.members().stream()
                    .map(s -> Engines.withStaged(s, fleets.small()))
                    .toList();
            groups.add(new DomainState.Group(g.key(), g.model(), members, true));
        }
        FleetPlan.DomainPlan plan =
                plan(new DomainState(withoutStaging.domain(), groups, free, List.of(), Map.of()), 90, 18);
        assertThat(plan.donors()).hasSize(1);
        assertThat(plan.nextDonors()).isEmpty();
        List<StagingPlanner.Batch> batches = StagingPlanner.plan(plan);
        assertThat(batches.get(0).model()).isEqualTo(fleets.large());
        assertThat(batches.get(0).servers()).hasSize(2);
    }

    @Nested
    class WeightInventory {
        private DomainWeightInventory inventory(Map<String, String> staging) {
            return new DomainWeightInventory(
                    fleets.context(1).profile(), s -> Optional.ofNullable(staging.get(s.id().value())));
        }

        /** When all engines of a domain restart, only the weights on their hosts remain. */
        @Test
        void hostsOfDomainHoldEnoughForGroupOfEachModel() {
            DomainWeightInventory inventory = inventory(Map.of());
            List<BackendServer> hosts = new ArrayList<>();
            hosts.addAll(restarted(fleets.engines("d0", "l", fleets.large(), 6)));
            hosts.addAll(restarted(fleets.engines("d0", "s", fleets.small(), 3)));
            hosts.forEach(inventory::count);
            int large = 0;
            int small = 0;
            for (BackendServer s : hosts) {
                Optional<EngineModel> model = inventory.modelToStage(s);
                inventory.recordStaging(s, model.orElseThrow());
                large += model.get().equals(fleets.large()) ? 1 : 0;
                small += model.get().equals(fleets.small()) ? 1 : 0;
            }
            assertThat(large).isEqualTo(6);
            assertThat(small).isEqualTo(3);
        }

        /**
         * A domain of ten has one group of 4 and three of 2: staging lets two of the latter be converted to one of 4 at
         * once.
         */
        @Test
        void surplusHostsStageModelOtherThanThatOfTheirGroup() {
            Fleets pairs = new Fleets(4, 2);
            DomainWeightInventory inventory =
                    new DomainWeightInventory(pairs.context(1).profile(), s -> Optional.empty());
            List<BackendServer> large = loaded(pairs.engines("d0", "l", pairs.large(), 4));
            List<BackendServer> small = loaded(pairs.engines("d0", "s", pairs.small(), 6));
            large.forEach(inventory::count);
            small.forEach(inventory::count);
            int toLarge = 0;
            for (BackendServer s : small) {
                Optional<EngineModel> model = inventory.modelToStage(s);
                model.ifPresent(m -> inventory.recordStaging(s, m));
                toLarge += model.equals(Optional.of(pairs.large())) ? 1 : 0;
            }
            assertThat(toLarge).isEqualTo(4);
            assertThat(inventory.modelToStage(small.get(5))).isEqualTo(Optional.empty());
        }

        /** Returns engines whose hosts hold the model of their last group, as after a load. */
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
        void keepsModelThatDomainNeeds() {
            DomainWeightInventory inventory = inventory(Map.of());
            List<BackendServer> hosts = fleets.engines("d0", "l", fleets.large(), 3);
            hosts.forEach(inventory::count);
            hosts.forEach(s -> assertThat(inventory.modelToStage(s)).isEqualTo(Optional.empty()));
        }

        private List<BackendServer> restarted(List<BackendServer> engines) {
            return engines.stream()
                    .map(s -> Engines.free(s.id().value(), "d0").withModel(s.model()))
                    .toList();
        }
    }
}
