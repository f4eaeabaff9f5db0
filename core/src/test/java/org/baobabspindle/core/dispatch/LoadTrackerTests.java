package org.baobabspindle.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.time.Moment;
import org.junit.jupiter.api.Test;

class LoadTrackerTests {
    private static final Moment START = new Moment(0, 0);
    private static final InstanceId ONE = InstanceId.of("one");
    private static final InstanceId TWO = InstanceId.of("two");

    private final LoadTracker tracker = new LoadTracker();

    private static Moment at(long millis) {
        return START.plus(Duration.ofMillis(millis));
    }

    @Test
    void totalsIncludeOwnRequestsAndThoseOfOtherEntries() {
        tracker.requestSent("t");
        tracker.updatePeerCounts(ONE, Map.of("t", 3), START);
        tracker.updatePeerCounts(TWO, Map.of("t", 4, "u", 1), START);
        assertThat(tracker.totals(START).apply("t")).isEqualTo(8);
        assertThat(tracker.totals(START).apply("u")).isEqualTo(1);
    }

    @Test
    void newCountsOfAnEntryReplaceItsEarlierCounts() {
        tracker.updatePeerCounts(ONE, Map.of("t", 3), START);
        tracker.updatePeerCounts(ONE, Map.of("u", 2), at(100));
        assertThat(tracker.totals(at(100)).apply("t")).isEqualTo(0);
        assertThat(tracker.totals(at(100)).apply("u")).isEqualTo(2);
    }

    @Test
    void dropsCountsOfAnUnresponsiveEntry() {
        tracker.updatePeerCounts(ONE, Map.of("t", 3), START);
        tracker.updatePeerCounts(TWO, Map.of("t", 2), at(1_500));
        assertThat(tracker.totals(at(2_100)).apply("t")).isEqualTo(2);
    }

    @Test
    void totalsEqualTheSumOfLastCountsAfterRandomUpdates() {
        Random random = new Random(11);
        Map<Integer, Map<String, Integer>> last = new HashMap<>();
        for (int i = 0; i < 2_000; i++) {
            int entry = random.nextInt(20);
            Map<String, Integer> counts = new HashMap<>();
            for (int t = 0; t < 5; t++) {
                if (random.nextBoolean()) {
                    counts.put("t" + t, 1 + random.nextInt(9));
                }
            }
            last.put(entry, counts);
            tracker.updatePeerCounts(InstanceId.of("e" + entry), counts, START);
        }
        for (int t = 0; t < 5; t++) {
            String target = "t" + t;
            int sum = last.values().stream()
                    .mapToInt(c -> c.getOrDefault(target, 0))
                    .sum();
            assertThat(tracker.totals(START).apply(target)).isEqualTo(sum);
        }
    }
}
