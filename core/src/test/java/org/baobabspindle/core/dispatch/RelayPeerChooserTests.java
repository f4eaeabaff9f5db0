package org.baobabspindle.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.baobabspindle.core.id.InstanceId;
import org.junit.jupiter.api.Test;

class RelayPeerChooserTests {
    private static final InstanceId A = InstanceId.of("a");
    private static final InstanceId B = InstanceId.of("b");
    private static final InstanceId C = InstanceId.of("c");

    private final SplittableRandom random = new SplittableRandom(1);

    private Optional<InstanceId> choose(RelayPeerChooser.Candidate... candidates) {
        return RelayPeerChooser.choose(List.of(candidates), random);
    }

    private static RelayPeerChooser.Candidate near(InstanceId id, int outstanding) {
        return new RelayPeerChooser.Candidate(id, true, outstanding);
    }

    private static RelayPeerChooser.Candidate far(InstanceId id, int outstanding) {
        return new RelayPeerChooser.Candidate(id, false, outstanding);
    }

    @Test
    void choosesNoneWithoutCandidates() {
        assertThat(choose()).isEmpty();
    }

    @Test
    void choosesFewestOutstandingRequests() {
        assertThat(choose(near(A, 7), near(B, 2), near(C, 3))).hasValue(B);
    }

    @Test
    void prefersOwnZone() {
        assertThat(choose(far(A, 0), near(B, 2))).hasValue(B);
    }

    @Test
    void choosesOtherZoneRatherThanOverloadOwn() {
        assertThat(choose(near(A, 30), far(B, 1))).hasValue(B);
    }

    @Test
    void choosesOtherZoneIfOwnHasNoCandidate() {
        assertThat(choose(far(A, 5))).hasValue(A);
    }

    @Test
    void choosesAnyOfEqualCandidates() {
        Set<InstanceId> chosen = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            chosen.add(choose(near(A, 1), near(B, 1), near(C, 1)).orElseThrow());
        }
        assertThat(chosen).containsExactly(A, B, C);
    }

    /** A single entry is left in the zone of those that relay. */
    @Test
    void requestsOfOneEntryAreSpreadEvenlyOverZones() {
        Map<InstanceId, Integer> outstanding = new HashMap<>(Map.of(A, 0, B, 0, C, 0));
        for (int i = 0; i < 90; i++) {
            InstanceId chosen = choose(
                            near(A, outstanding.get(A)), far(B, outstanding.get(B)), far(C, outstanding.get(C)))
                    .orElseThrow();
            outstanding.merge(chosen, 1, Integer::sum);
        }
        assertThat(outstanding.get(A) - outstanding.get(B)).isAtMost(5);
        assertThat(Math.abs(outstanding.get(B) - outstanding.get(C))).isAtMost(1);
    }
}
