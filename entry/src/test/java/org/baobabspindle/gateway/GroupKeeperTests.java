package org.baobabspindle.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.CallerLimits;
import org.baobabspindle.core.fleet.EngineModel;
import org.baobabspindle.core.fleet.EngineProfile;
import org.baobabspindle.core.fleet.FleetConfiguration;
import org.baobabspindle.core.fleet.FleetService;
import org.baobabspindle.core.fleet.GroupKey;
import org.baobabspindle.core.fleet.GroupMembership;
import org.baobabspindle.core.fleet.MemberState;
import org.baobabspindle.core.fleet.PlanPolicy;
import org.baobabspindle.core.formation.SilentEngines;
import org.baobabspindle.core.formation.WeightLoadLimiter;
import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.logging.EventLog;
import org.baobabspindle.port.EngineOrder;
import org.baobabspindle.port.EngineReport;
import org.baobabspindle.port.OrderAnswer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class GroupKeeperTests {
    private static final EngineModel SMALL =
            new EngineModel("small", 2, 1, 0.5, Duration.ofSeconds(12), Duration.ofSeconds(1));
    private static final EngineModel LARGE =
            new EngineModel("large", 4, 1, 0.5, Duration.ofSeconds(16), Duration.ofSeconds(1));
    private static final GroupKey KEY = new GroupKey("pair", 7);
    private static final InstanceId HEAD = InstanceId.of("e0");

    /** After this time the keeper no longer waits for more engines, so that the present ones stage weights. */
    private static final Duration SETTLED = Duration.ofSeconds(1);

    private static final Duration HALF_SECOND = Duration.ofMillis(500);

    /** After this time the keeper no longer waits for more engines at the first start of the whole system either. */
    private static final Duration FIRST_START_SETTLED = Duration.ofSeconds(10);

    /** After this time the keeper orders a head that is not listed to leave its group. */
    private static final Duration HEAD_CLOSE_TIMEOUT = Duration.ofSeconds(4);

    private final GatewayClock clock = new GatewayClock();
    private FakePlatform platform;
    private FleetConfiguration configuration;
    private List<BackendServer> engines;
    private KeeperLease lease;
    private GroupKeeper keeper;
    private Map<String, String> stagedElsewhere = Map.of();
    private Set<AvailabilityZone> evacuated = Set.of();
    private final AtomicBoolean partitioned = new AtomicBoolean();

    @BeforeEach
    void start() throws Exception {
        EngineProfile profile =
                new EngineProfile(12, 7.8, 0.134, 45_900, 5, 5, 7, Duration.ofMillis(300), List.of(LARGE, SMALL));
        configuration = new FleetConfiguration(
                1,
                List.of(),
                List.of(new FleetService("pool", 100, "/health", Optional.of(profile))),
                Map.of(),
                true,
                new CallerLimits(8_000, 1_000_000, Duration.ofSeconds(5), Duration.ofSeconds(30)));
        engines = List.of(member("e0", 0, MemberState.READY), member("e1", 1, MemberState.READY));
        platform = new FakePlatform(configuration, engines);
        Set<Integer> all = new HashSet<>();
        for (int i = 0; i < platform.settings().leasePartitions(); i++) {
            all.add(i);
        }
        platform.grantPartitions(all);
        EventLog log = new EventLog();
        lease = new KeeperLease(platform, "m", Duration.ofSeconds(20), clock, log);
        lease.renew();
        GatewayTestSupport.await(() -> lease.term(clock.now()).isPresent());
        keeper = newKeeper();
    }

    private GroupKeeper newKeeper() {
        return new GroupKeeper(
                platform,
                platform.settings(),
                PlanPolicy.EVEN,
                lease,
                partitioned::get,
                clock,
                new EventLog(),
                new GatewayMetrics());
    }

    private static BackendServer member(String id, int rank, MemberState state) {
        Optional<String> small = Optional.of(SMALL.name());
        return TestEngines.engine(id, small, Optional.empty(), Optional.of(new GroupMembership(KEY, rank, state)));
    }

    /** Runs the keeper; the engines are new to it at the first tick. */
    private void tick(Duration delay) {
        keeper.tick(
                new GroupKeeper.Inputs(
                        configuration,
                        engines,
                        Map.of(),
                        stagedElsewhere,
                        new WeightLoadLimiter.Share(0, 8),
                        evacuated),
                clock.now().plus(delay));
    }

    @Test
    void enginesOfAnEvacuatedZoneGetNoOrdersUntilItIsWithdrawn() {
        evacuated = Set.of(engines.get(0).zone());
        for (int i = 0; i < 5; i++) {
            tick(SETTLED);
        }
        assertThat(platform.ordersTo(HEAD)).isEmpty();
        evacuated = Set.of();
        for (int i = 0; i < 5; i++) {
            tick(SETTLED);
        }
        assertThat(platform.ordersTo(HEAD)).containsExactly(EngineOrder.Open.class);
    }

    @Test
    void sendsSecondOrderOnlyAfterFirstIsAnswered() {
        CompletableFuture<OrderAnswer> open = new CompletableFuture<>();
        platform.answerOrders(open);
        tick(Duration.ZERO);
        for (int i = 0; i < 5; i++) {
            tick(SETTLED);
        }
        assertThat(platform.ordersTo(HEAD)).containsExactly(EngineOrder.Open.class);

        platform.answerOrders(new CompletableFuture<>());
        open.complete(OrderAnswer.STARTED);
        tick(SETTLED);
        assertThat(platform.ordersTo(HEAD))
                .containsExactly(EngineOrder.Open.class, EngineOrder.Stage.class)
                .inOrder();
    }

    @Test
    void doesNotRepeatRefusedOrderBeforeReportIsRead() {
        platform.answerOrders(CompletableFuture.completedFuture(OrderAnswer.CONFLICT));
        for (int i = 0; i < 6; i++) {
            tick(Duration.ZERO);
        }
        assertThat(platform.ordersTo(HEAD)).isNotEmpty();
        assertThat(platform.ordersTo(HEAD)).containsNoDuplicates();
    }

    /** Such as a copy of a record under another name; others would be ordered to join groups with it again and again. */
    @Test
    void engineAtWhoseAddressAnotherInstanceAnswersIsNotUsed() {
        platform.answerOrders(CompletableFuture.completedFuture(OrderAnswer.OTHER_INSTANCE));
        engines = List.of(idle("a&b"), idle("c d"));
        tick(Duration.ZERO);
        for (int i = 0; i < 6; i++) {
            tick(SETTLED);
        }
        for (BackendServer e : engines) {
            assertThat(platform.ordersTo(e.id())).hasSize(1);
        }
    }

    private static BackendServer idle(String id) {
        return TestEngines.engine(id, Optional.of(SMALL.name()), Optional.empty(), Optional.empty());
    }

    @Test
    void newKeeperDoesNotRestageWhatFormerKeeperHasStaged() {
        engines = List.of(member("e0", 0, MemberState.OPEN), member("e1", 1, MemberState.READY));
        platform.answerOrders(CompletableFuture.completedFuture(OrderAnswer.STARTED));
        tick(Duration.ZERO);
        tick(SETTLED);
        tick(SETTLED);
        assertThat(platform.ordersTo(HEAD)).containsExactly(EngineOrder.Stage.class);

        stagedElsewhere = keeper.staging(clock.now());
        assertThat(stagedElsewhere).containsExactly("e0/1", "large", "e1/1", "large");
        keeper = newKeeper();
        tick(Duration.ZERO);
        tick(SETTLED);
        tick(SETTLED);
        assertThat(platform.ordersTo(HEAD)).containsExactly(EngineOrder.Stage.class);
    }

    /** All entries are killed and restart before they have seen a request, while many engines hold no weights. */
    @Test
    void restartedKeeperStaysWithinRateOfWeightStore() {
        platform.markRestarted();
        platform.answerOrders(CompletableFuture.completedFuture(OrderAnswer.STARTED));
        List<BackendServer> free = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            free.add(TestEngines.engine("f" + i, Optional.empty(), Optional.empty(), Optional.empty()));
        }
        engines = free;
        keeper = newKeeper();
        tick(Duration.ZERO);
        long before = orders();
        for (int i = 0; i < 10; i++) {
            tick(FIRST_START_SETTLED);
        }
        assertThat(orders()).isGreaterThan(before);
        assertThat(orders() - before).isAtMost(4);
    }

    private long orders() {
        return engines.stream().mapToLong(e -> platform.ordersTo(e.id()).size()).sum();
    }

    @Test
    void doesNotRepeatStageOrderWhileHostIsBusyWithAnotherLoad() throws Exception {
        engines = List.of(member("e0", 0, MemberState.OPEN), member("e1", 1, MemberState.READY));
        platform.answerOrders(CompletableFuture.completedFuture(OrderAnswer.CONFLICT));
        tick(Duration.ZERO);
        for (int i = 0; i < 20; i++) {
            Thread.sleep(50);
            tick(SETTLED);
        }
        assertThat(platform.ordersTo(HEAD)).containsExactly(EngineOrder.Stage.class);
    }

    /** A group that serves, one of whose engines entries report as unresponsive. */
    @Nested
    class SuspectedEngineTests {
        private final InstanceId entry = InstanceId.of("entry-1");
        private final InstanceId otherEntry = InstanceId.of("entry-2");
        private final CompletableFuture<Optional<EngineReport>> probe = new CompletableFuture<>();

        @BeforeEach
        void openGroup() {
            engines = List.of(member("e0", 0, MemberState.OPEN), member("e1", 1, MemberState.READY));
        }

        /** No engine answers, so that there is no evidence that the head alone is silent. */
        private void makeAllUnresponsive() {
            engines.forEach(e -> platform.makeUnresponsive(e.id()));
        }

        private void report(InstanceId by) {
            keeper.reportSuspects(by, engines.subList(0, 1));
        }

        private boolean dissolves() {
            return dissolvesAfter(Duration.ZERO);
        }

        private boolean dissolvesAfter(Duration delay) {
            tick(delay);
            return platform.ordersTo(HEAD).contains(EngineOrder.Leave.class);
        }

        @Test
        void dissolvesGroupIfEngineDoesNotRespondToKeeperEither() {
            makeAllUnresponsive();
            report(entry);
            assertThat(dissolves()).isFalse();
            assertThat(dissolvesAfter(SETTLED)).isFalse();
            assertThat(dissolvesAfter(SilentEngines.TOLERANCE)).isTrue();
        }

        /** Guards against a detection only after the tolerance, in which callers wait for a group that is lost. */
        @Test
        void dissolvesGroupWithinHalfASecondIfOnlyItsEngineIsSilent() {
            tick(Duration.ZERO);
            platform.makeUnresponsive(HEAD);
            report(entry);
            assertThat(dissolves()).isFalse();
            assertThat(dissolvesAfter(HALF_SECOND)).isTrue();
        }

        /** Guards against members that wait until the list drops a head that cannot leave because it has terminated. */
        @Test
        void membersOfEndedHeadJoinOtherGroupsAtOnce() {
            BackendServer spare =
                    TestEngines.engine("e2", Optional.of(SMALL.name()), Optional.empty(), Optional.empty());
            engines = List.of(engines.get(0), engines.get(1), spare);
            platform.answerOrders(CompletableFuture.completedFuture(OrderAnswer.UNREACHABLE));
            tick(Duration.ZERO);
            platform.endEngine(HEAD);
            report(entry);
            for (int i = 0; i < 4; i++) {
                tick(SETTLED);
            }
            assertThat(platform.ordersTo(InstanceId.of("e1"))).contains(EngineOrder.Join.class);
        }

        @Test
        void pauseOfKeeperIsNoEvidenceOfSilence() {
            Moment start = clock.now();
            makeAllUnresponsive();
            keeper.observe(start);
            report(entry);
            keeper.observe(start.plus(SilentEngines.TOLERANCE));
            assertThat(dissolvesAfter(SilentEngines.TOLERANCE)).isFalse();
        }

        /** Nothing listens at the address of the engine. */
        @Test
        void dissolvesGroupAtOnceIfEngineHasEnded() {
            platform.endEngine(HEAD);
            report(entry);
            assertThat(dissolves()).isTrue();
        }

        @Test
        void doesNotDissolveGroupIfReportIsWithdrawnWhileEngineIsSilent() {
            platform.makeUnresponsive(HEAD);
            report(entry);
            keeper.withdrawReports(entry);
            assertThat(dissolvesAfter(SilentEngines.TOLERANCE)).isFalse();
        }

        @Test
        void reportAfterWithdrawalBeginsToProbeSilentEngineAnew() {
            platform.makeUnresponsive(HEAD);
            report(entry);
            keeper.withdrawReports(entry);
            report(otherEntry);
            assertThat(platform.probesOf(HEAD)).isEqualTo(2);
            makeAllUnresponsive();
            assertThat(dissolvesAfter(SETTLED)).isFalse();
            assertThat(dissolvesAfter(SilentEngines.TOLERANCE)).isTrue();
        }

        @Test
        void silentEngineIsNotProbedOnEachReport() {
            platform.makeUnresponsive(HEAD);
            report(entry);
            report(otherEntry);
            assertThat(platform.probesOf(HEAD)).isEqualTo(1);
        }

        /** Entries that have lost their own links report every engine. */
        @Test
        void reportsOfSeveralEntriesDoNotDissolveGroupThatKeeperReaches() {
            report(entry);
            report(otherEntry);
            assertThat(dissolves()).isFalse();
        }

        @Test
        void reportsOfOneFailureCauseOneProbe() {
            platform.answerProbes(probe);
            report(entry);
            report(otherEntry);
            assertThat(platform.probesOf(HEAD)).isEqualTo(1);
        }

        /** An entry may have reported an engine just before it noticed that it is partitioned. */
        @Test
        void withdrawnReportDoesNotDissolveGroup() {
            platform.answerProbes(probe);
            report(entry);
            keeper.withdrawReports(entry);
            probe.complete(Optional.empty());
            assertThat(dissolves()).isFalse();
            assertThat(dissolvesAfter(SilentEngines.TOLERANCE)).isFalse();
        }

        @Test
        void withdrawalDoesNotAffectReportOfAnotherEntry() {
            platform.answerProbes(probe);
            report(entry);
            report(otherEntry);
            keeper.withdrawReports(entry);
            makeAllUnresponsive();
            probe.complete(Optional.empty());
            assertThat(dissolves()).isFalse();
            assertThat(dissolvesAfter(SETTLED)).isFalse();
            assertThat(dissolvesAfter(SilentEngines.TOLERANCE)).isTrue();
        }

        @Test
        void partitionedKeeperIgnoresReports() {
            platform.makeUnresponsive(HEAD);
            partitioned.set(true);
            report(entry);
            report(otherEntry);
            partitioned.set(false);
            assertThat(dissolves()).isFalse();
            assertThat(dissolvesAfter(SilentEngines.TOLERANCE)).isFalse();
        }

        @Test
        void probeThatFailsWhenKeeperIsPartitionedDoesNotDissolveGroup() {
            platform.answerProbes(probe);
            report(entry);
            partitioned.set(true);
            probe.complete(Optional.empty());
            partitioned.set(false);
            assertThat(dissolves()).isFalse();
            assertThat(dissolvesAfter(SilentEngines.TOLERANCE)).isFalse();
        }

        /** The probe was sent before the partition and times out after it. */
        @Test
        void probeDuringWhichKeeperWasPartitionedDoesNotDissolveGroup() {
            platform.answerProbes(probe);
            report(entry);
            keeper.discardSuspicions();
            probe.complete(Optional.empty());
            assertThat(dissolves()).isFalse();
            assertThat(dissolvesAfter(SilentEngines.TOLERANCE)).isFalse();
        }

        @Test
        void engineIsNotLostAnyMoreAfterPartitionOfKeeper() {
            platform.makeUnresponsive(HEAD);
            report(entry);
            keeper.discardSuspicions();
            assertThat(dissolves()).isFalse();
            assertThat(dissolvesAfter(SilentEngines.TOLERANCE)).isFalse();
        }
    }

    /** Orders for which no connection to the engine could be established. */
    @Nested
    class UndeliverableOrderTests {
        private final CompletableFuture<OrderAnswer> answer = new CompletableFuture<>();

        private long leaveOrders() {
            return platform.ordersTo(HEAD).stream()
                    .filter(EngineOrder.Leave.class::equals)
                    .count();
        }

        /** Answers the pending order while this entry is partitioned or while it is not. */
        private void failOrder(boolean whilePartitioned) {
            partitioned.set(whilePartitioned);
            answer.complete(OrderAnswer.UNREACHABLE);
            partitioned.set(false);
        }

        private void sendOpenOrder() {
            platform.answerOrders(answer);
            tick(Duration.ZERO);
            tick(Duration.ZERO);
            assertThat(platform.ordersTo(HEAD)).containsExactly(EngineOrder.Open.class);
        }

        @Test
        void unreachableEngineThatDoesNotAnswerAProbeCountsAsLost() {
            sendOpenOrder();
            engines.forEach(e -> platform.makeUnresponsive(e.id()));
            failOrder(false);
            tick(Duration.ZERO);
            tick(SETTLED);
            assertThat(leaveOrders()).isEqualTo(0);
            tick(SilentEngines.TOLERANCE);
            assertThat(leaveOrders()).isEqualTo(1);
        }

        @Test
        void engineDoesNotCountAsLostIfKeeperIsPartitioned() {
            sendOpenOrder();
            failOrder(true);
            tick(Duration.ZERO);
            assertThat(leaveOrders()).isEqualTo(0);
        }

        /** Orders the unlisted head of a group, which may still serve, to leave it. */
        private void sendLeaveOrderToUnlistedHead() {
            GroupKey key = new GroupKey("g7_e0_127.0.0.1_8080_1_small", 7);
            engines = List.of(TestEngines.engine(
                    "e1",
                    Optional.of(SMALL.name()),
                    Optional.empty(),
                    Optional.of(new GroupMembership(key, 1, MemberState.READY))));
            platform.answerOrders(answer);
            tick(Duration.ZERO);
            tick(HEAD_CLOSE_TIMEOUT);
            assertThat(leaveOrders()).isEqualTo(1);
        }

        @Test
        void unreachableUnlistedHeadHasLeftItsGroup() {
            sendLeaveOrderToUnlistedHead();
            failOrder(false);
            tick(HEAD_CLOSE_TIMEOUT.plus(SETTLED));
            assertThat(leaveOrders()).isEqualTo(1);
        }

        @Test
        void unlistedHeadIsOrderedToLeaveAgainIfKeeperWasPartitioned() {
            sendLeaveOrderToUnlistedHead();
            failOrder(true);
            tick(HEAD_CLOSE_TIMEOUT.plus(SETTLED));
            assertThat(leaveOrders()).isEqualTo(2);
        }
    }

    /** Two entries find the head unresponsive while it is silent; it would cut off its streams on the order to leave. */
    @Test
    void doesNotDissolveGroupWhoseHeadIsSilentForASecond() throws Exception {
        engines = List.of(member("e0", 0, MemberState.OPEN), member("e1", 1, MemberState.READY));
        tick(Duration.ZERO);
        platform.makeUnresponsive(HEAD);
        keeper.reportSuspects(InstanceId.of("entry-1"), engines.subList(0, 1));
        keeper.reportSuspects(InstanceId.of("entry-2"), engines.subList(0, 1));
        tick(Duration.ZERO);
        assertThat(platform.ordersTo(HEAD)).doesNotContain(EngineOrder.Leave.class);
        platform.makeResponsive(HEAD);
        tick(SETTLED);
        assertThat(platform.ordersTo(HEAD)).doesNotContain(EngineOrder.Leave.class);
    }

    /** The order cannot be sent because a packet is lost or all connections are in use; the engine responds to probes. */
    @Test
    void doesNotDissolveGroupBecauseAnOrderCouldNotBeSent() {
        platform.answerOrders(CompletableFuture.completedFuture(OrderAnswer.UNREACHABLE));
        tick(Duration.ZERO);
        tick(SETTLED);
        assertThat(platform.ordersTo(HEAD)).contains(EngineOrder.Open.class);
        engines = List.of(member("e0", 0, MemberState.OPEN), member("e1", 1, MemberState.READY));
        tick(SETTLED);
        assertThat(platform.ordersTo(HEAD)).doesNotContain(EngineOrder.Leave.class);
    }
}
