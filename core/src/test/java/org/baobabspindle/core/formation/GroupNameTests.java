package org.baobabspindle.core.formation;

import static com.google.common.truth.Truth.assertThat;

import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.GroupKey;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class GroupNameTests {
    @ParameterizedTest
    @ValueSource(strings = {"i-7f3a91c2", "i_1", "_", "i_1_2_", "a_8080_1", "i&+#% 1", "€"})
    void namesItsHeadAndItsModel(String id) {
        for (String model : new String[] {"small", "small_2", "_", "2"}) {
            BackendServer head = Engines.free(id, "d1");
            GroupKey key = GroupName.of(7, head, model);
            assertThat(GroupName.model(key)).hasValue(model);
            BackendServer named =
                    GroupName.head(key, Engines.free("member", "d1")).orElseThrow();
            assertThat(named.lifetime()).isEqualTo(head.lifetime());
            assertThat(named.host() + ":" + named.port()).isEqualTo(head.host() + ":" + head.port());
        }
    }

    /** Otherwise one engine with a long id would keep its keeper from planning any group. */
    @Test
    void existsForTheLongestIds() {
        BackendServer head = Engines.free("i".repeat(200), "d1");
        GroupKey key = GroupName.of(Long.MAX_VALUE, head, "m".repeat(200));
        assertThat(GroupName.head(key, head).orElseThrow().id()).isEqualTo(head.id());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "g7",
                "g7_i-1",
                "g7_i-1_10.0.0.1_8080_1",
                "x_y_z_1_2_m",
                "h7_i-1_10.0.0.1_8080_1_m",
                "g7_i-1_10.0.0.1_99999_1_m"
            })
    void ofAnotherSystemNamesNoHead(String name) {
        assertThat(GroupName.head(new GroupKey(name, 7), Engines.free("member", "d1")))
                .isEmpty();
    }
}
