package org.baobabspindle.core.request;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.baobabspindle.core.id.GroupId;
import org.baobabspindle.core.id.Incarnation;
import org.junit.jupiter.api.Test;

class GroupSubsetTests {
    private static List<GroupId> groups(int count) {
        return IntStream.range(0, count).mapToObj(GroupId::of).toList();
    }

    @Test
    void tracksAllGroupsUpToTheMaximumSize() {
        assertThat(GroupSubset.of(Incarnation.of("e", 1), groups(12), GroupSubset.MAX_SIZE))
                .hasSize(12);
    }

    @Test
    void spreadsGroupsEvenlyOverEntries() {
        Map<GroupId, Integer> trackedBy = new HashMap<>();
        for (int e = 0; e < 340; e++) {
            GroupSubset.of(Incarnation.of("e" + e, 1), groups(37), GroupSubset.MAX_SIZE)
                    .forEach(g -> trackedBy.merge(g, 1, Integer::sum));
        }
        assertThat(trackedBy).hasSize(37);
        trackedBy.values().forEach(n -> assertThat(n).isIn(com.google.common.collect.Range.closed(70, 150)));
    }

    @Test
    void removalOfAGroupChangesAtMostOneSelectedGroup() {
        Incarnation entry = Incarnation.of("e", 1);
        Set<GroupId> before = GroupSubset.of(entry, groups(37), GroupSubset.MAX_SIZE);
        for (GroupId removed : before) {
            List<GroupId> rest =
                    groups(37).stream().filter(g -> !g.equals(removed)).toList();
            Set<GroupId> kept = new HashSet<>(GroupSubset.of(entry, rest, GroupSubset.MAX_SIZE));
            kept.retainAll(before);
            assertThat(kept).hasSize(GroupSubset.MAX_SIZE - 1);
        }
    }
}
