package org.baobabspindle.lab;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.baobabspindle.core.fleet.EngineModel;
import org.baobabspindle.core.fleet.EngineProfile;
import org.baobabspindle.core.fleet.PlanPolicy;
import org.junit.jupiter.api.Test;

/** Simulates six domains of 11 engines with groups of 6 and of 3, as in further/plumes-mbour.toml. */
class FormationFleetTests {
    private static final EngineProfile PROFILE = new EngineProfile(
            18,
            6.45,
            0.1,
            56_100,
            6,
            5,
            8,
            Duration.ofMillis(300),
            List.of(
                    new EngineModel("m6", 6, 1, 0.8, Duration.ofSeconds(16), Duration.ofMillis(1_600)),
                    new EngineModel("m3", 3, 1, 0.2, Duration.ofSeconds(12), Duration.ofMillis(1_100))));
    private static final Map<String, Double> DEMAND = Map.of("m6", 76.0, "m3", 39.0);

    private static FormationFleet.Outcome run(long seed, Duration lossInterval, Optional<Duration> outageAt) {
        FormationFleet fleet = new FormationFleet(PROFILE, 6, 11, DEMAND, PlanPolicy.EVEN, seed);
        return fleet.run(Duration.ofSeconds(60), lossInterval, outageAt);
    }

    @Test
    void coversDemandWithoutConversionsWhenNoEngineIsLost() {
        FormationFleet.Outcome o = run(1, Duration.ZERO, Optional.empty());
        assertThat(o.meanCoverage()).containsExactly("m6", 1.0, "m3", 1.0);
        assertThat(o.conversions()).isEqualTo(0);
    }

    @Test
    void repeatsRunForSameSeed() {
        FormationFleet.Outcome a = run(3, Duration.ofMillis(2_500), Optional.of(Duration.ofSeconds(20)));
        FormationFleet.Outcome b = run(3, Duration.ofMillis(2_500), Optional.of(Duration.ofSeconds(20)));
        assertThat(a.meanCoverage()).isEqualTo(b.meanCoverage());
        assertThat(a.losses()).isEqualTo(b.losses());
        assertThat(a.loads()).isEqualTo(b.loads());
    }

    /** Guards against greedy planning, which kept only one group of six and fifteen of three after half a minute. */
    @Test
    void coversMostDemandOfEachModelUnderFrequentLossesAndDomainOutage() {
        for (long seed = 1; seed <= 5; seed++) {
            FormationFleet.Outcome o = run(seed, Duration.ofMillis(2_500), Optional.of(Duration.ofSeconds(20)));
            assertThat(o.meanCoverage().get("m6")).isAtLeast(0.8);
            assertThat(o.meanCoverage().get("m3")).isAtLeast(0.8);
        }
    }
}
