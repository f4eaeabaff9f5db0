package org.baobabspindle.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.logging.EventLog;
import org.baobabspindle.port.LeaseGrant;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class KeeperLeaseTests {
    private static final Duration AFTER_HANDOVER = Duration.ofMillis(500);
    private static final Duration TIME_TO_LIVE = Duration.ofSeconds(2);

    private final GatewayClock clock = new GatewayClock();
    private FakePlatform platform;
    private KeeperLease lease;

    @BeforeEach
    void createLease() throws Exception {
        platform = new FakePlatform(GatewayTestSupport.configuration(), List.of());
        platform.grantPartitions(Set.of(0));
        lease = new KeeperLease(platform, "entry/1", TIME_TO_LIVE, clock, new EventLog());
    }

    @Test
    void holdsPartitionAfterHandoverDelay() {
        lease.renew();
        assertThat(lease.holdsPartition(0, clock.now())).isFalse();
        assertThat(lease.holdsPartition(0, clock.now().plus(AFTER_HANDOVER))).isTrue();
    }

    @Test
    void doesNotHoldReleasedPartition() {
        lease.renew();
        lease.release();
        assertThat(lease.holdsPartition(0, clock.now().plus(AFTER_HANDOVER))).isFalse();
        assertThat(lease.holdsAnyPartition()).isFalse();
    }

    /** A restored store may have lost the grant of another entry that still holds the partitions. */
    @Test
    void doesNotUseGrantOfRestoredStoreWhileAnotherEntryMayHoldThePartition() throws Exception {
        lease.renew();
        assertThat(lease.holdsPartition(0, clock.now().plus(AFTER_HANDOVER))).isTrue();
        platform.restoreEmptyStore(List.of());
        lease.renew();
        Moment now = clock.now();
        assertThat(lease.holdsPartition(0, now.plus(AFTER_HANDOVER))).isFalse();
        Thread.sleep(600);
        lease.renew();
        assertThat(lease.holdsPartition(0, now.plus(TIME_TO_LIVE.plusMillis(100))))
                .isTrue();
    }

    /** The store may grant the partitions to another entry as soon as it receives the release. */
    @Test
    void ignoresGrantRequestedBeforeRelease() {
        CompletableFuture<LeaseGrant> late = new CompletableFuture<>();
        platform.answerRenewals(late);
        lease.renew();
        lease.release();
        late.complete(new LeaseGrant(1, 1, Set.of(0)));
        assertThat(lease.holdsPartition(0, clock.now().plus(AFTER_HANDOVER))).isFalse();
    }

    @Test
    void holdsPartitionAgainAfterReleaseAndRenewal() {
        lease.renew();
        lease.release();
        lease.renew();
        assertThat(lease.holdsPartition(0, clock.now().plus(AFTER_HANDOVER))).isTrue();
    }

    /** The store may receive the release before the renewal, and grant the partitions to this entry again. */
    @Test
    void releasesPartitionsAgainIfRenewalWasPendingAtRelease() {
        CompletableFuture<LeaseGrant> late = new CompletableFuture<>();
        platform.answerRenewals(late);
        lease.renew();
        lease.release();
        assertThat(platform.releaseCount()).isEqualTo(1);
        late.complete(new LeaseGrant(1, 1, Set.of(0)));
        assertThat(platform.releaseCount()).isEqualTo(2);
    }

    /** A release that the store receives after a renewal ends the lease that this entry believes to hold. */
    @Test
    void doesNotRenewWhileReleaseIsPending() {
        CompletableFuture<LeaseGrant> renewal = new CompletableFuture<>();
        platform.answerRenewals(renewal);
        lease.renew();
        CompletableFuture<Void> release = new CompletableFuture<>();
        platform.answerReleases(release);
        lease.release();
        renewal.complete(new LeaseGrant(1, 1, Set.of(0)));
        lease.renew();
        assertThat(platform.renewalCount()).isEqualTo(1);
        release.complete(null);
        lease.renew();
        assertThat(platform.renewalCount()).isEqualTo(2);
    }

    /** Another entry may have held the partitions meanwhile and given engines a later term. */
    @Test
    void ignoresTermRequestedBeforePartitionsWereAcquiredAgain() {
        CompletableFuture<Long> early = new CompletableFuture<>();
        platform.answerTerms(early);
        lease.renew();
        lease.release();
        CompletableFuture<Long> later = new CompletableFuture<>();
        platform.answerTerms(later);
        lease.renew();
        early.complete(1L);
        assertThat(lease.term(clock.now().plus(AFTER_HANDOVER))).isEmpty();
        later.complete(3L);
        assertThat(lease.term(clock.now().plus(AFTER_HANDOVER))).hasValue(3L);
    }
}
