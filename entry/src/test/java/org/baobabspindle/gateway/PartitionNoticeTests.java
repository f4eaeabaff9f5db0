package org.baobabspindle.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what two entries tell callers while one or both are partitioned from the backend servers. */
class PartitionNoticeTests extends TwoEntryTestSupport {
    private final SwitchedLink link = new SwitchedLink();
    private final SwitchedLink otherLink = new SwitchedLink();
    private String address;
    private String otherAddress;

    @BeforeEach
    void startBothNodes() throws Exception {
        platform = new FakePlatform(configuration(), List.of());
        platform.grantPartitions(Set.of(0));
        node = GatewayNode.open(platform, link::replaceIn);
        await(() -> status(platform.readinessUrl()) == 200);
        startOtherNode(otherLink::replaceIn);
        otherPlatform.grantPartitions(Set.of(0));
        address = "127.0.0.1:" + platform.callerPort();
        otherAddress = "127.0.0.1:" + otherPlatform.callerPort();
    }

    private void awaitAddresses(Set<String> expected) throws InterruptedException {
        await(() -> addressesFrom(platform).equals(expected)
                && addressesFrom(otherPlatform).equals(expected));
    }

    @Test
    void callersAreNotSentToPartitionedEntry() throws Exception {
        link.cut();
        awaitAddresses(Set.of(otherAddress));
        link.heal();
        awaitAddresses(Set.of(address, otherAddress));
    }

    @Test
    void addressesIncludePartitionedEntriesIfAllArePartitioned() throws Exception {
        link.cut();
        awaitAddresses(Set.of(otherAddress));
        otherLink.cut();
        awaitAddresses(Set.of(address, otherAddress));
    }

    @Test
    void partitionedEntryStaysReady() throws Exception {
        link.cut();
        awaitAddresses(Set.of(otherAddress));
        assertThat(status(platform.readinessUrl())).isEqualTo(200);
    }

    /** The grants of the platform do not expire, so another entry gets the partitions only if they are released. */
    @Test
    void otherEntryTakesOverPartitionsOfLeaseWithoutDelay() throws Exception {
        otherLink.cut();
        await(() -> platform.leaseHolder().equals("entry"));
        otherLink.heal();
        long startedAt = System.nanoTime();
        link.cut();
        await(() -> platform.leaseHolder().equals("other"));
        assertThat(Duration.ofNanos(System.nanoTime() - startedAt)).isLessThan(KeeperCandidacy.DEMOTION_DELAY);
    }

    @Test
    void nobodyHoldsLeaseWhileAllEntriesArePartitioned() throws Exception {
        link.cut();
        awaitAddresses(Set.of(otherAddress));
        otherLink.cut();
        awaitAddresses(Set.of(address, otherAddress));
        await(() -> platform.leaseHolder().isEmpty());
        int renewals = platform.renewalCount() + otherPlatform.renewalCount();
        int releases = platform.releaseCount() + otherPlatform.releaseCount();
        TimeUnit.MILLISECONDS.sleep(1_000);
        assertThat(platform.renewalCount() + otherPlatform.renewalCount()).isEqualTo(renewals);
        assertThat(platform.releaseCount() + otherPlatform.releaseCount()).isEqualTo(releases);
    }
}
