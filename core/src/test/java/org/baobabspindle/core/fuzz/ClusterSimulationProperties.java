package org.baobabspindle.core.fuzz;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;

class ClusterSimulationProperties {
    private static final Duration STARTUP_TIME = Duration.ofSeconds(15);

    record Step(Fault fault, int target, int millis) {}

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<Fault> faults = Arbitraries.of(Fault.class);
        Arbitrary<Integer> targets = Arbitraries.integers().between(0, 63);
        Arbitrary<Integer> millis = Arbitraries.of(250, 500, 1_000, 2_500, 5_000, 12_000);
        return Combinators.combine(faults, targets, millis)
                .as(Step::new)
                .list()
                .ofMinSize(5)
                .ofMaxSize(40);
    }

    @Property(tries = 300, seed = "20261204", shrinking = ShrinkingMode.BOUNDED)
    void invariantsHoldUnderFaultsWithThreeEntries(@ForAll long seed, @ForAll("steps") List<Step> steps) {
        ClusterSimulation simulation = new ClusterSimulation(seed, 3, 10);
        simulation.run(STARTUP_TIME);
        simulation.step(Fault.PATCH_CONFIGURATION, 2, 12_000);
        steps.forEach(s -> simulation.step(s.fault(), s.target(), s.millis()));
    }

    @Property(tries = 100, seed = "20261205", shrinking = ShrinkingMode.BOUNDED)
    void invariantsHoldUnderFaultsWithFiveEntries(@ForAll long seed, @ForAll("steps") List<Step> steps) {
        ClusterSimulation simulation = new ClusterSimulation(seed, 5, 8);
        simulation.run(STARTUP_TIME);
        simulation.step(Fault.PATCH_CONFIGURATION, 2, 12_000);
        steps.forEach(s -> simulation.step(s.fault(), s.target(), s.millis()));
    }

    @Test
    void servesAndAcceptsPatchesWithoutFaults() {
        ClusterSimulation simulation = new ClusterSimulation(1, 3, 10);
        simulation.run(STARTUP_TIME);
        simulation.step(Fault.PATCH_CONFIGURATION, 2, 12_000);
        assertThat(simulation.anyServing()).isTrue();
        assertThat(simulation.checker().dispatchCount()).isGreaterThan(0);
        assertThat(simulation.checker().freshCheckCount()).isGreaterThan(0);
        assertThat(simulation.checker().acceptedCount()).isEqualTo(1);
    }
}
