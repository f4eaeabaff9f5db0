package org.baobabspindle.core.group;

import static com.google.common.truth.Truth.assertThat;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.baobabspindle.core.configuration.Configuration;
import org.baobabspindle.core.configuration.PlacementPolicy;
import org.baobabspindle.core.id.FabricDomain;
import org.baobabspindle.core.id.GroupId;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.ModelVersion;
import org.baobabspindle.core.log.Group;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class GroupAssessorTests {
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final GroupId ID = GroupId.of(7);
    private static final Incarnation A = Incarnation.of("a", 1);
    private static final Incarnation B = Incarnation.of("b", 1);
    private static final Group GROUP = new Group(ID, FabricDomain.of("d"), ModelVersion.parse("m@1"), List.of(A, B));

    private final ReportTable reports = new ReportTable();
    private final GroupAssessor assessor = new GroupAssessor(GroupTimings.DEFAULT);

    @BeforeEach
    void reportBothMembersReady() {
        report(A, ID, Readiness.READY, false, NOW);
        report(B, ID, Readiness.READY, false, NOW);
    }

    private void report(Incarnation member, GroupId group, Readiness readiness, boolean leaving, Instant askedAt) {
        reports.add(new MemberReport(member, Optional.of(group), readiness, leaving, 0, askedAt));
    }

    private Lifecycle lifecycle(Instant notBefore, Configuration configuration) {
        return assessor.assess(NOW, GROUP, reports, notBefore, configuration).lifecycle();
    }

    private Lifecycle lifecycle() {
        return lifecycle(Instant.MIN, Configuration.EMPTY);
    }

    @Test
    void servesWhenEveryMemberIsReady() {
        assertThat(lifecycle()).isEqualTo(Lifecycle.SERVING);
    }

    @Test
    void isSuspectWhenAnotherIncarnationOfAMemberReports() {
        report(Incarnation.of("b", 2), ID, Readiness.READY, false, NOW.plusMillis(1));
        assertThat(lifecycle()).isEqualTo(Lifecycle.SUSPECT);
    }

    @Test
    void acceptsNoRequestsWhenAMemberReportsAnotherGroup() {
        report(B, GroupId.of(8), Readiness.READY, false, NOW.plusMillis(1));
        assertThat(lifecycle().acceptsRequests()).isFalse();
    }

    @Test
    void doesNotServeWhileAMemberIsLoadingOrLeaving() {
        report(B, ID, Readiness.LOADING, false, NOW.plusMillis(1));
        assertThat(lifecycle()).isEqualTo(Lifecycle.LOADING);
        report(B, ID, Readiness.READY, true, NOW.plusMillis(2));
        assertThat(lifecycle()).isEqualTo(Lifecycle.DRAINING);
    }

    @Test
    void isDrainingWhenAnOperatorDrainsAMember() {
        Configuration drained = new Configuration(PlacementPolicy.LEAST_DOWNTIME, null, null, null, Set.of("b"));
        assertThat(lifecycle(Instant.MIN, drained)).isEqualTo(Lifecycle.DRAINING);
    }

    @Test
    void isSuspectWhenReportsAreFromBeforeTheCutoff() {
        assertThat(lifecycle(NOW.plusMillis(1), Configuration.EMPTY)).isEqualTo(Lifecycle.SUSPECT);
    }

    @Test
    void keepsLaterReportWhenAnOlderOneArrives() {
        report(B, GroupId.of(8), Readiness.READY, false, NOW.minusSeconds(1));
        assertThat(lifecycle()).isEqualTo(Lifecycle.SERVING);
    }
}
