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
    private static final Duration START = Duration.ofSeconds(15);

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
    void groupsAreWholeMembersExclusiveAndConfigurationsInForce(@ForAll long seed, @ForAll("steps") List<Step> steps) {
        ClusterSimulation world = new ClusterSimulation(seed, 3, 10);
        world.run(START);
        world.step(Fault.PATCH, 2, 12_000);
        steps.forEach(s -> world.step(s.fault(), s.target(), s.millis()));
    }

    @Property(tries = 100, seed = "20261205", shrinking = ShrinkingMode.BOUNDED)
    void theSameHoldsWithFiveEntries(@ForAll long seed, @ForAll("steps") List<Step> steps) {
        ClusterSimulation world = new ClusterSimulation(seed, 5, 8);
        world.run(START);
        world.step(Fault.PATCH, 2, 12_000);
        steps.forEach(s -> world.step(s.fault(), s.target(), s.millis()));
    }

    @Test
    void aQuietWorldServesAndAcceptsPatches() {
        ClusterSimulation world = new ClusterSimulation(1, 3, 10);
        world.run(START);
        world.step(Fault.PATCH, 2, 12_000);
        assertThat(world.anyServing()).isTrue();
        assertThat(world.oracle().dispatches()).isGreaterThan(0);
        assertThat(world.oracle().freshChecks()).isGreaterThan(0);
        assertThat(world.oracle().accepted()).isEqualTo(1);
    }
}
