package org.baobabspindle.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.baobabspindle.core.id.InstanceId;
import org.junit.jupiter.api.Test;

class KeeperRanksTests {
    private static List<InstanceId> keepers(List<InstanceId> entries) {
        List<InstanceId> result = new ArrayList<>();
        for (InstanceId e : entries) {
            List<InstanceId> others = new ArrayList<>(entries);
            others.remove(e);
            if (KeeperRanks.rank(e, others) < KeeperCandidacy.MAX_KEEPERS) {
                result.add(e);
            }
        }
        return result;
    }

    private static List<InstanceId> entries(int count) {
        List<InstanceId> result = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            result.add(InstanceId.of("edge-" + i));
        }
        return result;
    }

    @Test
    void onlyMaxKeepersAreKeepersInLargeFleet() {
        for (int count : new int[] {63, 95, 340}) {
            assertThat(keepers(entries(count))).hasSize(KeeperCandidacy.MAX_KEEPERS);
        }
    }

    @Test
    void allEntriesAreKeepersInSmallFleet() {
        assertThat(keepers(entries(7))).hasSize(7);
    }

    @Test
    void lossOfKeeperAddsOnlyOneNewKeeper() {
        List<InstanceId> entries = entries(95);
        List<InstanceId> before = keepers(entries);
        entries.remove(before.get(3));
        List<InstanceId> after = keepers(entries);
        assertThat(after).hasSize(KeeperCandidacy.MAX_KEEPERS);
        after.removeAll(before);
        assertThat(after).hasSize(1);
    }

    @Test
    void entryWithoutPeersHasRankZero() {
        assertThat(KeeperRanks.rank(InstanceId.of("edge-1"), List.of())).isEqualTo(0);
    }
}
