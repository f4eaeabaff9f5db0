package org.baobabspindle.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.baobabspindle.core.time.Moment;
import org.junit.jupiter.api.Test;

/** Tests detection with four groups of one model, one or two of which may be slow. */
class SlowTargetDetectorTests {
    private static final Moment START = new Moment(0, 0);
    private static final List<String> GROUPS = List.of("a", "b", "c", "d");

    private final SlowTargetDetector detector = new SlowTargetDetector();

    private void recordIntervals(String target, int count, int millis) {
        for (int i = 0; i < count; i++) {
            detector.recordInterval(target, Duration.ofMillis(millis), START);
        }
    }

    @Test
    void detectsAGroupThatIsMuchSlowerThanTheOthers() {
        GROUPS.forEach(g -> recordIntervals(g, 20, g.equals("c") ? 150 : 50));
        assertThat(detector.slowTargets(GROUPS, START)).containsExactly("c");
    }

    @Test
    void doesNotReportAGroupWithAFullBatch() {
        GROUPS.forEach(g -> recordIntervals(g, 20, g.equals("c") ? 80 : 50));
        assertThat(detector.slowTargets(GROUPS, START)).isEmpty();
    }

    @Test
    void doesNotJudgeAGroupAfterFewIntervals() {
        GROUPS.forEach(g -> recordIntervals(g, g.equals("c") ? 5 : 20, g.equals("c") ? 500 : 50));
        assertThat(detector.slowTargets(GROUPS, START)).isEmpty();
    }

    @Test
    void reportsNoGroupIfHalfOfThemAreSlow() {
        GROUPS.forEach(g -> recordIntervals(g, 20, g.equals("c") || g.equals("d") ? 150 : 50));
        assertThat(detector.slowTargets(GROUPS, START)).isEmpty();
    }

    @Test
    void doesNotReportAGroupThatHasRecovered() {
        GROUPS.forEach(g -> recordIntervals(g, 20, g.equals("c") ? 150 : 50));
        recordIntervals("c", 60, 50);
        assertThat(detector.slowTargets(GROUPS, START)).isEmpty();
    }

    @Test
    void expiresAveragesWithoutNewIntervals() {
        GROUPS.forEach(g -> recordIntervals(g, 20, g.equals("c") ? 150 : 50));
        assertThat(detector.slowTargets(GROUPS, START.plus(Duration.ofSeconds(4))))
                .isEmpty();
    }
}
