package org.baobabspindle.core.formation;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.MemberState;
import org.baobabspindle.core.id.InstanceId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests groups beside a record that repeats the one of a member under another name. */
class CopiedRecordTests extends FormationTestSupport {
    private static List<BackendServer> groupBesideCopy(int rank, String id, boolean copyFirst) {
        List<BackendServer> engines = new ArrayList<>(group(Engines.SMALL, MemberState.OPEN, MemberState.READY));
        engines.add(copyFirst ? 0 : engines.size(), Engines.withId(engines.get(rank), id));
        return engines;
    }

    @ParameterizedTest
    @CsvSource({"0,a&b,true", "0,a&b,false", "1,a&b,true", "1,a&b,false"})
    void groupKeepsItsHead(int rank, String id, boolean copyFirst) {
        List<GroupView> groups = GroupView.all(groupBesideCopy(rank, id, copyFirst));
        assertThat(groups).hasSize(1);
        assertThat(groups.get(0).isComplete(2, BackendServer::ready)).isTrue();
        assertThat(groups.get(0).head().orElseThrow().id()).isEqualTo(InstanceId.of("e0"));
    }

    @ParameterizedTest
    @CsvSource({"0,a&b,true", "0,a&b,false", "1,a&b,true", "1,a&b,false"})
    void groupGetsNoOrders(int rank, String id, boolean copyFirst) {
        for (int second = 0; second < 20; second++) {
            for (FormationAction a : decide(groupBesideCopy(rank, id, copyFirst), at(second * 1_000L))) {
                assertThat(a.toString()).contains(id);
            }
        }
    }
}
