package org.baobabspindle.core.formation;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.time.Moment;
import org.junit.jupiter.api.Test;

class SuspicionReportsTests {
    private static final BackendServer.Lifetime ENGINE = new BackendServer.Lifetime(InstanceId.of("e1"), 1);
    private static final BackendServer.Lifetime RESTARTED = new BackendServer.Lifetime(InstanceId.of("e1"), 2);
    private static final InstanceId A = InstanceId.of("a");
    private static final InstanceId B = InstanceId.of("b");
    private static final Moment NOW = new Moment(0, 0);

    private final SuspicionReports reports = new SuspicionReports();

    @Test
    void reportedEngineIsSuspectedUntilReportExpires() {
        reports.report(ENGINE, A, NOW);
        assertThat(reports.isSuspected(ENGINE, NOW.plus(Duration.ofMillis(1_499))))
                .isTrue();
        assertThat(reports.isSuspected(ENGINE, NOW.plus(Duration.ofMillis(1_500))))
                .isFalse();
    }

    @Test
    void laterLifetimeOfReportedEngineIsNotSuspected() {
        reports.report(ENGINE, A, NOW);
        assertThat(reports.isSuspected(RESTARTED, NOW)).isFalse();
    }

    @Test
    void engineIsNotSuspectedOnceReportIsWithdrawn() {
        reports.report(ENGINE, A, NOW);
        reports.withdraw(A);
        assertThat(reports.isSuspected(ENGINE, NOW)).isFalse();
    }

    @Test
    void withdrawalLeavesReportsOfOtherEntries() {
        reports.report(ENGINE, A, NOW);
        reports.report(ENGINE, B, NOW);
        reports.withdraw(A);
        assertThat(reports.isSuspected(ENGINE, NOW)).isTrue();
        reports.withdrawAll();
        assertThat(reports.isSuspected(ENGINE, NOW)).isFalse();
    }

    @Test
    void renewedReportIsValidForLonger() {
        reports.report(ENGINE, A, NOW);
        Moment later = NOW.plus(Duration.ofSeconds(1));
        reports.renew(ENGINE, later);
        assertThat(reports.isSuspected(ENGINE, later.plus(Duration.ofMillis(1_499))))
                .isTrue();
        assertThat(reports.isSuspected(ENGINE, later.plus(Duration.ofMillis(1_500))))
                .isFalse();
    }

    @Test
    void withdrawnOrExpiredReportCannotBeRenewed() {
        reports.report(ENGINE, A, NOW);
        reports.withdraw(A);
        reports.renew(ENGINE, NOW);
        assertThat(reports.isSuspected(ENGINE, NOW)).isFalse();
        reports.report(ENGINE, A, NOW);
        Moment expired = NOW.plus(Duration.ofMillis(1_500));
        reports.renew(ENGINE, expired);
        assertThat(reports.isSuspected(ENGINE, expired)).isFalse();
    }
}
