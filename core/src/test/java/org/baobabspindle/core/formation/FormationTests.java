package org.baobabspindle.core.formation;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.EngineModel;
import org.baobabspindle.core.fleet.GroupKey;
import org.baobabspindle.core.fleet.MemberState;
import org.baobabspindle.core.time.Moment;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FormationTests {
    private static final Moment START = new Moment(0, 0);
    private static final GroupKey KEY = GroupName.of(1, Engines.free("e0", "d1"), "small");

    private final Formation formation = new Formation();
    private final Set<BackendServer.Lifetime> lost = new HashSet<>();
    private final Map<BackendServer.Lifetime, String> stagedElsewhere = new HashMap<>();
    private Set<String> others = Set.of();
    private Map<String, Double> demand = Map.of();
    private long epochs = 100;
    private boolean beforeRequests;

    private List<FormationAction> decide(Collection<BackendServer> engines, Moment now) {
        ModelDemand wanted =
                demand.isEmpty() ? ModelDemand.expected(Engines.PROFILE, engines.size()) : ModelDemand.of(demand);
        return formation.decide(
                new Formation.View(
                        Engines.PROFILE,
                        engines,
                        Set.copyOf(lost),
                        d -> !others.contains(d.value()),
                        wanted,
                        () -> ++epochs,
                        Map.copyOf(stagedElsewhere),
                        100,
                        beforeRequests),
                now);
    }

    private static List<Class<?>> kinds(List<FormationAction> actions) {
        List<Class<?>> kinds = new ArrayList<>();
        actions.forEach(a -> kinds.add(a.getClass()));
        return kinds;
    }

    private static Moment at(long millis) {
        return START.plus(Duration.ofMillis(millis));
    }

    private static List<BackendServer> domain(int size) {
        List<BackendServer> engines = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            engines.add(Engines.free("e" + i, "d1"));
        }
        return engines;
    }

    private static final GroupKey LARGE_KEY = GroupName.of(1, Engines.free("e0", "d1"), "large");

    private static List<BackendServer> group(EngineModel model, MemberState head, MemberState others) {
        GroupKey key = model.equals(Engines.SMALL) ? KEY : LARGE_KEY;
        List<BackendServer> engines = new ArrayList<>();
        for (int i = 0; i < model.groupSize(); i++) {
            engines.add(Engines.member(Engines.free("e" + i, "d1"), key, i, model, i == 0 ? head : others));
        }
        return engines;
    }

    @Nested
    class AtTheStart {
        @Test
        void aDomainIsDividedAmongBothModels() {
            Map<String, Set<GroupKey>> groups = new HashMap<>();
            beforeRequests = true;
            decide(domain(10), at(-1_000));
            for (FormationAction a : decide(domain(10), START)) {
                FormationAction.Join j = (FormationAction.Join) a;
                groups.computeIfAbsent(j.model(), m -> new HashSet<>()).add(j.key());
            }
            assertThat(groups.get("large")).hasSize(1);
            assertThat(groups.get("small")).hasSize(3);
        }

        @Test
        void enginesThatAppearOneAfterTheOtherAreAwaited() {
            beforeRequests = true;
            for (int i = 1; i <= 10; i++) {
                assertThat(decide(domain(i), at(i * 50L))).isEmpty();
            }
            Set<String> models = new HashSet<>();
            decide(domain(10), at(1_100)).forEach(a -> models.add(((FormationAction.Join) a).model()));
            assertThat(models).containsExactly("large", "small");
        }

        @Test
        void joinsAreNotSentTwiceWhileTheFirstMayStillBeReported() {
            beforeRequests = true;
            decide(domain(4), at(-1_000));
            decide(domain(4), START);
            assertThat(decide(domain(4), at(100))).isEmpty();
        }

        @Test
        void aJoinThatIsNotReportedIsSentAgain() {
            beforeRequests = true;
            decide(domain(2), at(-1_000));
            List<FormationAction> first = decide(domain(2), START);
            List<FormationAction> again = decide(domain(2), at(1_000));
            assertThat(again.stream().map(FormationAction::key).toList())
                    .containsExactlyElementsIn(
                            first.stream().map(FormationAction::key).toList());
        }
    }

    @Nested
    class Opening {
        @Test
        void aHeadIsOpenedOnceAllMembersAreReady() {
            List<FormationAction> actions = decide(group(Engines.SMALL, MemberState.READY, MemberState.READY), START);
            assertThat(actions).hasSize(1);
            assertThat(actions.get(0)).isInstanceOf(FormationAction.Open.class);
        }

        @Test
        void aHeadIsNotOpenedWhileAMemberJoins() {
            assertThat(decide(group(Engines.SMALL, MemberState.READY, MemberState.JOINING), START))
                    .isEmpty();
        }
    }

    @Nested
    class LosingAMember {
        @Test
        void theHeadIsToldToLeaveBeforeItsMembersAreUsedElsewhere() {
            List<BackendServer> engines = group(Engines.LARGE, MemberState.OPEN, MemberState.READY);
            lost.add(engines.get(3).lifetime());
            List<FormationAction> actions = decide(engines, START);
            assertThat(actions).hasSize(1);
            assertThat(actions.get(0)).isInstanceOf(FormationAction.Leave.class);
            assertThat(actions.get(0).server()).isEqualTo(engines.get(0));
        }

        @Test
        void survivorsFormGroupsOnceTheHeadHasLeft() {
            List<BackendServer> engines = group(Engines.LARGE, MemberState.OPEN, MemberState.READY);
            lost.add(engines.get(3).lifetime());
            decide(engines, START);
            formation.headLeft(LARGE_KEY, at(10));
            List<FormationAction> actions = decide(engines, at(20));
            assertThat(actions).isNotEmpty();
            actions.forEach(a -> {
                assertThat(a).isInstanceOf(FormationAction.Join.class);
                assertThat(a.server()).isNotEqualTo(engines.get(3));
            });
        }

        @Test
        void membersOfALostHeadWaitUntilTheListShowsItGone() {
            List<BackendServer> engines = group(Engines.LARGE, MemberState.OPEN, MemberState.READY);
            lost.add(engines.get(0).lifetime());
            decide(engines, START);
            assertThat(decide(engines, at(3_000)).stream().filter(a -> a instanceof FormationAction.Join))
                    .isEmpty();
        }

        @Test
        void aHeadThatIsGoneFromTheListFinishesAndLeavesBeforeItsMembersAreUsedElsewhere() {
            List<BackendServer> listed =
                    group(Engines.SMALL, MemberState.OPEN, MemberState.READY).subList(1, 2);
            List<BackendServer> engines = new ArrayList<>(listed);
            GroupKey other = GroupName.of(2, Engines.free("e8", "d1"), "small");
            engines.add(Engines.member(Engines.free("e9", "d1"), other, 0, Engines.SMALL, MemberState.BROKEN));
            assertThat(kinds(decide(engines, at(0)))).containsExactly(FormationAction.Close.class);
            assertThat(kinds(decide(engines, at(4_000)))).containsExactly(FormationAction.Leave.class);
            formation.headLeft(KEY, at(4_010));
            assertThat(kinds(decide(engines, at(4_020))))
                    .containsExactly(FormationAction.Join.class, FormationAction.Join.class);
        }

        @Test
        void aLostHeadThatIsGoneFromTheListIsToldToLeaveAtOnce() {
            List<BackendServer> engines = group(Engines.SMALL, MemberState.OPEN, MemberState.READY);
            lost.add(engines.get(0).lifetime());
            assertThat(kinds(decide(engines.subList(1, 2), at(0)))).containsExactly(FormationAction.Leave.class);
        }

        @Test
        void aBrokenHeadFreesItsMembers() {
            List<BackendServer> engines = group(Engines.LARGE, MemberState.BROKEN, MemberState.READY);
            lost.add(engines.get(3).lifetime());
            List<FormationAction> actions = decide(engines, START);
            assertThat(kinds(actions)).containsExactly(FormationAction.Join.class, FormationAction.Join.class);
        }

        @Test
        void aSurvivorDoesNotWaitInAGroupForAnEngineThatLoads() {
            List<BackendServer> engines = group(Engines.SMALL, MemberState.BROKEN, MemberState.READY);
            lost.add(engines.get(1).lifetime());
            List<BackendServer> three = new ArrayList<>(engines);
            three.add(Engines.free("e9", "d1"));
            assertThat(kinds(decide(three, START))).containsExactly(FormationAction.Stage.class);
        }

        @Test
        void survivorsThatHoldDifferentModelsStageOneThatTheyLack() {
            List<BackendServer> engines = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                EngineModel model = i == 0 ? Engines.SMALL : Engines.LARGE;
                engines.add(Engines.holding(Engines.free("e" + i, "d1"), model));
            }
            List<FormationAction> actions = decide(engines, START);
            assertThat(kinds(actions)).containsExactly(FormationAction.Stage.class);
        }
    }

    /** Many engines without weights at a time, as after a release beside losses. */
    @Nested
    class StagingUnderLoad {
        private List<BackendServer> empty(String domain, int count) {
            List<BackendServer> engines = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                engines.add(Engines.free(domain + "-empty" + i, domain));
            }
            return engines;
        }

        private List<BackendServer> holdingLarge(String domain, int count) {
            List<BackendServer> engines = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                engines.add(Engines.holding(Engines.free(domain + "-large" + i, domain), Engines.LARGE));
            }
            return engines;
        }

        @Test
        void noMoreHostsStageThanTheWeightStoreServesAtFullSpeed() {
            List<BackendServer> engines = new ArrayList<>(empty("d1", 8));
            engines.addAll(empty("d2", 8));
            int first = decide(engines, START).size();
            int second = decide(engines, at(5_000)).size();
            assertThat(first).isGreaterThan(0);
            assertThat(first + second).isAtMost(Engines.PROFILE.loadsAtOnce());
        }

        @Test
        void whatOtherKeepersHaveOrderedCounts() {
            List<BackendServer> engines = new ArrayList<>(empty("d1", 8));
            for (int i = 0; i < Engines.PROFILE.loadsAtOnce(); i++) {
                BackendServer other = Engines.free("other" + i, "d9");
                stagedElsewhere.put(other.lifetime(), "large");
                engines.add(other);
            }
            others = Set.of("d9");
            assertThat(decide(engines, START)).isEmpty();
        }

        @Test
        void theGroupThatLacksLeastComesFirst() {
            List<BackendServer> engines = new ArrayList<>(empty("d1", 8));
            engines.addAll(empty("d2", 1));
            engines.addAll(holdingLarge("d2", 3));
            demand = Map.of("large", 30.0, "small", 10.0);
            FormationAction first = decide(engines, START).get(0);
            assertThat(first.server().id().value()).isEqualTo("d2-empty0");
            assertThat(((FormationAction.Stage) first).model()).isEqualTo("large");
        }

        @Test
        void aDomainThatIsTakenOverDoesNotStageAgainWhatItsFormerKeeperOrdered() {
            List<BackendServer> engines = new ArrayList<>(empty("d1", 1));
            engines.addAll(holdingLarge("d1", 3));
            stagedElsewhere.put(engines.get(0).lifetime(), "large");
            assertThat(decide(engines, START)).isEmpty();
            stagedElsewhere.clear();
            assertThat(decide(engines, at(1_000))).isEmpty();
        }

        @Test
        void whatIsStagedInTheEndCountsNoLonger() {
            List<BackendServer> engines = new ArrayList<>(empty("d1", 8));
            assertThat(decide(engines, START)).isNotEmpty();
            Map<BackendServer.Lifetime, String> staging = formation.staging(START);
            assertThat(staging).isNotEmpty();
            engines.replaceAll(s -> Optional.ofNullable(staging.get(s.lifetime()))
                    .flatMap(Engines.PROFILE::model)
                    .map(m -> Engines.holding(s, m))
                    .orElse(s));
            decide(engines, at(1_000));
            assertThat(formation.staging(at(1_000)).keySet()).containsNoneIn(staging.keySet());
        }

        @Test
        void anOrderToStageThatTheEngineDidNotGetIsDecidedAgain() {
            List<BackendServer> engines = new ArrayList<>(empty("d1", 1));
            engines.addAll(holdingLarge("d1", 3));
            FormationAction stage = decide(engines, START).get(0);
            assertThat(decide(engines, at(100))).isEmpty();
            formation.notSent(stage);
            assertThat(kinds(decide(engines, at(200)))).containsExactly(FormationAction.Stage.class);
        }
    }

    @Nested
    class ShortOfOneModel {
        private final List<BackendServer> engines = new ArrayList<>();

        private void pairs(String domain, int count) {
            for (int i = 0; i < count; i++) {
                String id = domain + i;
                GroupKey key = GroupName.of(10 + i, Engines.free(id + "a", domain), "small");
                engines.add(Engines.member(Engines.free(id + "a", domain), key, 0, Engines.SMALL, MemberState.OPEN));
                engines.add(Engines.member(Engines.free(id + "b", domain), key, 1, Engines.SMALL, MemberState.READY));
            }
        }

        private List<FormationAction> decideWith(Map<String, Double> demand, Moment now) {
            return formation.decide(
                    new Formation.View(
                            Engines.PROFILE,
                            engines,
                            Set.of(),
                            d -> true,
                            ModelDemand.of(demand),
                            () -> ++epochs,
                            Map.of(),
                            100,
                            false),
                    now);
        }

        @Test
        void twoPairsOfOneDomainAreClosedForALargerGroup() {
            pairs("d1", 4);
            pairs("d2", 1);
            List<FormationAction> actions = decideWith(Map.of("large", 30.0, "small", 10.0), START);
            assertThat(kinds(actions)).containsExactly(FormationAction.Close.class, FormationAction.Close.class);
            actions.forEach(
                    a -> assertThat(a.server().domain().orElseThrow().value()).isEqualTo("d1"));
        }

        @Test
        void theReleasedEnginesFormTheLargerGroup() {
            pairs("d1", 4);
            Map<String, Double> demand = Map.of("large", 30.0, "small", 10.0);
            for (FormationAction a : decideWith(demand, START)) {
                formation.headLeft(a.key(), at(100));
            }
            List<FormationAction> joins = decideWith(demand, at(200)).stream()
                    .filter(a -> a instanceof FormationAction.Join)
                    .toList();
            assertThat(joins).hasSize(4);
            joins.forEach(a -> assertThat(((FormationAction.Join) a).model()).isEqualTo("large"));
        }

        @Test
        void survivorsOfALargeGroupWaitForAPairInsteadOfBecomingOne() {
            pairs("d1", 4);
            for (int i = 0; i < 3; i++) {
                BackendServer s = Engines.free("survivor" + i, "d1").withModel(Optional.of("large"));
                engines.add(Engines.staging(s, Engines.SMALL));
            }
            Map<String, Double> demand = Map.of("large", 30.0, "small", 10.0);
            List<BackendServer> others = new ArrayList<>(engines);
            for (int i = 0; i < 2; i++) {
                GroupKey key = GroupName.of(30 + i, Engines.free("c" + i, "d2"), "small");
                engines.add(Engines.member(Engines.free("c" + i, "d2"), key, 0, Engines.SMALL, MemberState.CLOSING));
                engines.add(Engines.member(Engines.free("m" + i, "d2"), key, 1, Engines.SMALL, MemberState.READY));
            }
            assertThat(decideWith(demand, START)).isEmpty();
            engines.clear();
            engines.addAll(others);
            assertThat(kinds(decideWith(demand, at(1_000)))).containsExactly(FormationAction.Close.class);
        }

        @Test
        void nothingIsClosedWhileTheDonorsAreAsFull() {
            pairs("d1", 4);
            engines.addAll(group(Engines.LARGE, MemberState.OPEN, MemberState.READY));
            assertThat(decideWith(Map.of("large", 12.0, "small", 45.0), START)).isEmpty();
        }
    }

    @Nested
    class Leaving {
        @Test
        void aHeadFinishesItsRequestsWhenAMemberDrains() {
            List<BackendServer> engines = group(Engines.SMALL, MemberState.OPEN, MemberState.READY);
            engines.set(1, Engines.draining(engines.get(1)));
            List<FormationAction> actions = decide(engines, START);
            assertThat(actions).hasSize(1);
            assertThat(actions.get(0)).isInstanceOf(FormationAction.Close.class);
        }
    }
}
