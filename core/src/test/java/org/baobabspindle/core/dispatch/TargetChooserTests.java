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
    void aFullTargetIsNotChosen() {
        assertThat(chooser.choose(ALL, targets(1), t -> SLOTS, t -> true, t -> false))
                .isEmpty();
        assertThat(chooser.choose(ALL, targets(1), t -> SLOTS - 1, t -> true, t -> false))
                .isPresent();
    }

    @Test
    void aTargetThatIsLeftOutIsNotChosen() {
        assertThat(chooser.choose(ALL, targets(2), t -> 0, t -> t.key().equals("t1"), t -> false)
                        .orElseThrow()
                        .key())
                .isEqualTo("t1");
    }

    @Test
    void entriesThatKnowTheSameCountsDoNotAllChooseTheSameTarget() {
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
    void loadIsSpreadEvenlyOverAMinuteOfRequests() {
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < 240; i++) {
            Target t = chooser.choose(ALL, targets(24), k -> counts.getOrDefault(k, 0), k -> true, k -> false)
                    .orElseThrow();
            counts.merge(t.key(), 1, Integer::sum);
        }
        counts.values().forEach(n -> assertThat(n).isIn(List.of(8, 9, 10, 11, 12)));
    }

    @Test
    void countsOfASilentEntryAreDropped() {
        LoadTracker board = new LoadTracker();
        Moment start = new Moment(0, 0);
        board.updatePeerCounts(InstanceId.of("other"), Map.of("t0", 7), start);
        assertThat(board.totals(start.plus(Duration.ofSeconds(1))).apply("t0")).isEqualTo(7);
        assertThat(board.totals(start.plus(Duration.ofSeconds(3))).apply("t0")).isEqualTo(0);
    }

    /** A group with a slow member beside sound ones that have room. */
    @Test
    void aSlowTargetIsUsedOnlyOnceTheOthersAreMuchFuller() {
        for (int i = 0; i < 100; i++) {
            Target calm = chooser.choose(
                            ALL, targets(4), t -> 2, t -> true, t -> t.key().equals("t1"))
                    .orElseThrow();
            assertThat(calm.key()).isNotEqualTo("t1");
        }
        Target busy = chooser.choose(ALL, targets(4), t -> t.equals("t1") ? 0 : SLOTS - 1, t -> true, t -> t.key()
                        .equals("t1"))
                .orElseThrow();
        assertThat(busy.key()).isEqualTo("t1");
    }

    /**
     * 63 entries whose counts of each other are 0.8 s old, at 70 % of the slots of 18 groups. Returns the share of requests
     * that met a group whose slots were all taken.
     */
    private static double overfull(int choices) {
        int groups = 18;
        int slots = 34;
        int holdMillis = 1_000;
        int staleMillis = 800;
        double perMilli = 0.7 * groups * slots / holdMillis;
        SplittableRandom random = new SplittableRandom(5);
        TargetChooser chooser = new TargetChooser(AvailabilityZone.of("z1"), random.split());
        List<Target> targets = new ArrayList<>();
        for (int i = 0; i < groups; i++) {
            targets.add(new Target("t" + i, Engines.free("e" + i, "d1"), Optional.empty(), slots, 1));
        }
        Map<String, Integer> taken = new HashMap<>();
        Map<String, Integer> known = new HashMap<>();
        List<List<String>> ending = new ArrayList<>();
        int sent = 0;
        int met = 0;
        for (int ms = 0; ms < 20_000; ms++) {
            if (ms % staleMillis == 0) {
                known = new HashMap<>(taken);
            }
            if (ms >= holdMillis) {
                ending.get(ms - holdMillis).forEach(t -> taken.merge(t, -1, Integer::sum));
            }
            List<String> begun = new ArrayList<>();
            int arrivals = (int) perMilli + (random.nextDouble() < perMilli % 1 ? 1 : 0);
            for (int i = 0; i < arrivals; i++) {
                Map<String, Integer> counts = known;
                Optional<Target> t =
                        chooser.choose(choices, targets, k -> counts.getOrDefault(k, 0), x -> true, x -> false);
                if (t.isPresent()) {
                    sent++;
                    met += taken.getOrDefault(t.get().key(), 0) >= slots ? 1 : 0;
                    taken.merge(t.get().key(), 1, Integer::sum);
                    begun.add(t.get().key());
                }
            }
            ending.add(begun);
        }
        return (double) met / sent;
    }

    @Test
    void fewChoicesKeepEntriesWithOldCountsFromSendingToTheSameTargets() {
        assertThat(overfull(2)).isLessThan(overfull(ALL) / 3);
    }
}
