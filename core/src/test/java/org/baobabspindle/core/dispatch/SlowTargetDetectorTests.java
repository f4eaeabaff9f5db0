package org.baobabspindle.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.baobabspindle.core.time.Moment;
import org.junit.jupiter.api.Test;

/** Groups of one model, one of which has a slow member. */
class SlowTargetDetectorTests {
    private static final Moment START = new Moment(0, 0);
    private static final List<String> GROUPS = List.of("a", "b", "c", "d");

    private final SlowTargetDetector watch = new SlowTargetDetector();

    private void pauses(String target, int count, int millis) {
        for (int i = 0; i < count; i++) {
            watch.recordInterval(target, Duration.ofMillis(millis), START);
        }
    }

    @Test
    void aGroupThatIsMuchSlowerThanTheOthersIsFound() {
        GROUPS.forEach(g -> pauses(g, 20, g.equals("c") ? 150 : 50));
        assertThat(watch.slowTargets(GROUPS, START)).containsExactly("c");
    }

    @Test
    void aFullBatchIsNotTakenForASlowMember() {
        GROUPS.forEach(g -> pauses(g, 20, g.equals("c") ? 80 : 50));
        assertThat(watch.slowTargets(GROUPS, START)).isEmpty();
    }

    @Test
    void fewPausesDecideNothing() {
        GROUPS.forEach(g -> pauses(g, g.equals("c") ? 5 : 20, g.equals("c") ? 500 : 50));
        assertThat(watch.slowTargets(GROUPS, START)).isEmpty();
    }

    @Test
    void ifHalfOfThemAreSlowItIsTheLoad() {
        GROUPS.forEach(g -> pauses(g, 20, g.equals("c") || g.equals("d") ? 150 : 50));
        assertThat(watch.slowTargets(GROUPS, START)).isEmpty();
    }

    @Test
    void aGroupThatRecoversIsUsedAgain() {
        GROUPS.forEach(g -> pauses(g, 20, g.equals("c") ? 150 : 50));
        pauses("c", 60, 50);
        assertThat(watch.slowTargets(GROUPS, START)).isEmpty();
    }

    @Test
    void aFindingLapsesWithoutStreams() {
        GROUPS.forEach(g -> pauses(g, 20, g.equals("c") ? 150 : 50));
        assertThat(watch.slowTargets(GROUPS, START.plus(Duration.ofSeconds(4)))).isEmpty();
    }
}
