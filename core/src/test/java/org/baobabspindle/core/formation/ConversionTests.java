package org.baobabspindle.core.formation;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.GroupKey;
import org.baobabspindle.core.fleet.MemberState;
import org.baobabspindle.core.time.Moment;
import org.junit.jupiter.api.Test;

/** One model has too few groups and another more than it needs, as after several losses. */
class ConversionTests extends FormationTestSupport {
    private final List<BackendServer> engines = new ArrayList<>();

    private void addSmallGroups(String domain, int count) {
        for (int i = 0; i < count; i++) {
            String id = domain + i;
            GroupKey key = GroupName.of(10 + i, Engines.free(id + "a", domain), "small");
            engines.add(Engines.member(Engines.free(id + "a", domain), key, 0, Engines.SMALL, MemberState.OPEN));
            engines.add(Engines.member(Engines.free(id + "b", domain), key, 1, Engines.SMALL, MemberState.READY));
        }
    }

    private List<FormationAction> decideWith(Map<String, Double> slots, Moment now) {
        demand = slots;
        return decide(engines, now);
    }

    @Test
    void closesTwoSmallGroupsOfOneDomainForALargeGroup() {
        addSmallGroups("d1", 4);
        addSmallGroups("d2", 1);
        List<FormationAction> actions = decideWith(Map.of("large", 30.0, "small", 10.0), START);
        List<FormationAction> ofGroups = new ArrayList<>(actions);
        ofGroups.removeIf(a -> a instanceof FormationAction.Stage);
        assertThat(types(ofGroups)).containsExactly(FormationAction.Close.class, FormationAction.Close.class);
        ofGroups.forEach(
                a -> assertThat(a.server().domain().orElseThrow().value()).isEqualTo("d1"));
    }

    @Test
    void formsLargeGroupFromReleasedEngines() {
        addSmallGroups("d1", 4);
        Map<String, Double> slots = Map.of("large", 30.0, "small", 10.0);
        for (FormationAction a : decideWith(slots, START)) {
            formation.headLeft(a.key(), at(100));
        }
        List<FormationAction> joins = decideWith(slots, at(200)).stream()
                .filter(a -> a instanceof FormationAction.Join)
                .toList();
        assertThat(joins).hasSize(4);
        joins.forEach(a -> assertThat(((FormationAction.Join) a).model()).isEqualTo("large"));
    }

    @Test
    void closesSmallGroupForSurvivorsOfLargeGroupOnceOthersHaveClosed() {
        addSmallGroups("d1", 4);
        for (int i = 0; i < 3; i++) {
            BackendServer s = Engines.free("survivor" + i, "d1").withModel(Optional.of("large"));
            engines.add(Engines.withStaged(s, Engines.SMALL));
        }
        Map<String, Double> slots = Map.of("large", 30.0, "small", 10.0);
        List<BackendServer> withoutClosing = new ArrayList<>(engines);
        for (int i = 0; i < 2; i++) {
            GroupKey key = GroupName.of(30 + i, Engines.free("c" + i, "d2"), "small");
            engines.add(Engines.member(Engines.free("c" + i, "d2"), key, 0, Engines.SMALL, MemberState.CLOSING));
            engines.add(Engines.member(Engines.free("m" + i, "d2"), key, 1, Engines.SMALL, MemberState.READY));
        }
        assertThat(decideWith(slots, START)).isEmpty();
        engines.clear();
        engines.addAll(withoutClosing);
        assertThat(types(decideWith(slots, at(1_000)))).containsExactly(FormationAction.Close.class);
    }

    @Test
    void closesNothingWhileDonorsAreEquallyLoaded() {
        addSmallGroups("d1", 4);
        engines.addAll(group(Engines.LARGE, MemberState.OPEN, MemberState.READY));
        assertThat(decideWith(Map.of("large", 12.0, "small", 45.0), START)).isEmpty();
    }
}
