package org.baobabspindle.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.baobabspindle.core.formation.Engines;
import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.time.Moment;
import org.junit.jupiter.api.Test;

class TargetChooserTests {
    private static final int SLOTS = 12;
    private static final int ALL = Integer.MAX_VALUE;

    private final TargetChooser chooser = new TargetChooser(AvailabilityZone.of("z1"), new SplittableRandom(1));

    private static List<Target> targets(int count) {
        List<Target> targets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            targets.add(new Target("t" + i, Engines.free("e" + i, "d1"), Optional.empty(), SLOTS, 1));
        }
        return targets;
    }

    @Test
    void doesNotChooseATargetWithoutAFreeSlot() {
        assertThat(chooser.choose(ALL, targets(1), t -> SLOTS, t -> true, t -> false))
                .isEmpty();
        assertThat(chooser.choose(ALL, targets(1), t -> SLOTS - 1, t -> true, t -> false))
                .isPresent();
    }

    @Test
    void doesNotChooseAnUnusableTarget() {
        assertThat(chooser.choose(ALL, targets(2), t -> 0, t -> t.key().equals("t1"), t -> false)
                        .orElseThrow()
                        .key())
                .isEqualTo("t1");
    }

    @Test
    void entriesWithTheSameCountsChooseDifferentTargets() {
        Map<String, Integer> chosen = new HashMap<>();
        for (int entry = 0; entry < 8; entry++) {
            TargetChooser own = new TargetChooser(AvailabilityZone.of("z1"), new SplittableRandom(entry));
            own.choose(ALL, targets(24), t -> 3, t -> true, t -> false)
                    .ifPresent(t -> chosen.merge(t.key(), 1, Integer::sum));
        }
        assertThat(chosen.values().stream().mapToInt(Integer::intValue).max().orElseThrow())
                .isAtMost(3);
    }

    @Test
    void spreads240RequestsEvenlyOver24Targets() {
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < 240; i++) {
            Target t = chooser.choose(ALL, targets(24), k -> counts.getOrDefault(k, 0), k -> true, k -> false)
                    .orElseThrow();
            counts.merge(t.key(), 1, Integer::sum);
        }
        counts.values().forEach(n -> assertThat(n).isIn(List.of(8, 9, 10, 11, 12)));
    }

    @Test
    void ignoresCountsOfAnUnresponsiveEntry() {
        LoadTracker tracker = new LoadTracker();
        Moment start = new Moment(0, 0);
        tracker.updatePeerCounts(InstanceId.of("other"), Map.of("t0", 7), start);
        assertThat(tracker.totals(start.plus(Duration.ofSeconds(1))).apply("t0"))
                .isEqualTo(7);
        assertThat(tracker.totals(start.plus(Duration.ofSeconds(3))).apply("t0"))
                .isEqualTo(0);
    }

    /** First the other targets have free slots; then they have one free slot each. */
    @Test
    void choosesASlowTargetOnlyIfTheOthersAreMuchFuller() {
        for (int i = 0; i < 100; i++) {
            Target lightlyLoaded = chooser.choose(
                            ALL, targets(4), t -> 2, t -> true, t -> t.key().equals("t1"))
                    .orElseThrow();
            assertThat(lightlyLoaded.key()).isNotEqualTo("t1");
        }
        Target heavilyLoaded = chooser.choose(
                        ALL, targets(4), t -> t.equals("t1") ? 0 : SLOTS - 1, t -> true, t -> t.key()
                                .equals("t1"))
                .orElseThrow();
        assertThat(heavilyLoaded.key()).isEqualTo("t1");
    }

    /**
     * Simulates 63 entries whose counts of each other are up to 0.8 s old, at a load of 70 % of the slots of 18 groups.
     * Returns the share of requests that were sent to a group without a free slot.
     */
    private static double overloadedShare(int choices) {
        int groups = 18;
        int slots = 34;
        int holdMillis = 1_000;
        int staleMillis = 800;
        double arrivalsPerMilli = 0.7 * groups * slots / holdMillis;
        SplittableRandom random = new SplittableRandom(5);
        TargetChooser chooser = new TargetChooser(AvailabilityZone.of("z1"), random.split());
        List<Target> targets = new ArrayList<>();
        for (int i = 0; i < groups; i++) {
            targets.add(new Target("t" + i, Engines.free("e" + i, "d1"), Optional.empty(), slots, 1));
        }
        Map<String, Integer> actual = new HashMap<>();
        Map<String, Integer> known = new HashMap<>();
        List<List<String>> startedAt = new ArrayList<>();
        int sent = 0;
        int overloaded = 0;
        for (int ms = 0; ms < 20_000; ms++) {
            if (ms % staleMillis == 0) {
                known = new HashMap<>(actual);
            }
            if (ms >= holdMillis) {
                startedAt.get(ms - holdMillis).forEach(t -> actual.merge(t, -1, Integer::sum));
            }
            List<String> started = new ArrayList<>();
            int arrivals = (int) arrivalsPerMilli + (random.nextDouble() < arrivalsPerMilli % 1 ? 1 : 0);
            for (int i = 0; i < arrivals; i++) {
                Map<String, Integer> counts = known;
                Optional<Target> t =
                        chooser.choose(choices, targets, k -> counts.getOrDefault(k, 0), x -> true, x -> false);
                if (t.isPresent()) {
                    sent++;
                    overloaded += actual.getOrDefault(t.get().key(), 0) >= slots ? 1 : 0;
                    actual.merge(t.get().key(), 1, Integer::sum);
                    started.add(t.get().key());
                }
            }
            startedAt.add(started);
        }
        return (double) overloaded / sent;
    }

    @Test
    void comparingFewChoicesReducesOverloadCausedByStaleCounts() {
        assertThat(overloadedShare(2)).isLessThan(overloadedShare(ALL) / 3);
    }
}
