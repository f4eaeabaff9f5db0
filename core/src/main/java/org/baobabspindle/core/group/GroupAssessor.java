package org.baobabspindle.core.group;

import java.time.Instant;
import java.util.Optional;
import org.baobabspindle.core.configuration.Configuration;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.log.Group;

/** Derives the state of a group from the reports of its members. */
public final class GroupAssessor {
    private final GroupTimings timings;

    /**
     * Creates an assessor.
     *
     * @param timings the timings, which limit the age of a report
     */
    public GroupAssessor(GroupTimings timings) {
        this.timings = timings;
    }

    /**
     * Returns the state of a group.
     *
     * @param now the current time
     * @param group the group as the log records it
     * @param reports the reports of the engines
     * @param notBefore the cutoff: reports whose probe was sent earlier make their member suspect, such as reports from
     *     a keeper's quiet period
     * @param configuration the configuration in force, which lists the drained instances
     * @return the state of the group
     */
    public GroupAssessment assess(
            Instant now, Group group, ReportTable reports, Instant notBefore, Configuration configuration) {
        Instant oldestReport = Instant.MAX;
        Lifecycle worst = Lifecycle.SERVING;
        for (Incarnation member : group.members()) {
            Optional<MemberReport> report = reports.of(member.instance());
            worst = worse(worst, assessMember(now, group, member, report, notBefore));
            if (configuration.isDrained(member.instance())
                    || report.map(MemberReport::leaving).orElse(false)) {
                worst = worse(worst, Lifecycle.DRAINING);
            }
            Instant probeSentAt = report.map(MemberReport::probeSentAt).orElse(Instant.MIN);
            oldestReport = probeSentAt.isBefore(oldestReport) ? probeSentAt : oldestReport;
        }
        int running =
                reports.of(group.head().instance()).map(MemberReport::running).orElse(0);
        Optional<Instant> confirmedAsOf = worst == Lifecycle.SERVING ? Optional.of(oldestReport) : Optional.empty();
        return new GroupAssessment(group.id(), worst, confirmedAsOf, running);
    }

    /** Returns the state that a group would have if the given member were its only one. */
    private Lifecycle assessMember(
            Instant now, Group group, Incarnation member, Optional<MemberReport> found, Instant notBefore) {
        if (found.isEmpty()) {
            return Lifecycle.FORMING;
        }
        MemberReport report = found.get();
        boolean tooEarly = report.probeSentAt().isBefore(notBefore);
        boolean stale = report.probeSentAt().plus(timings.maxConfirmationAge()).isBefore(now);
        if (tooEarly || stale || !report.member().equals(member)) {
            return Lifecycle.SUSPECT;
        }
        if (!report.group().equals(Optional.of(group.id()))) {
            return Lifecycle.FORMING;
        }
        return report.readiness() == Readiness.READY ? Lifecycle.SERVING : Lifecycle.LOADING;
    }

    private static Lifecycle worse(Lifecycle a, Lifecycle b) {
        return severity(a) >= severity(b) ? a : b;
    }

    private static int severity(Lifecycle state) {
        switch (state) {
            case SERVING:
                return 0;
            case DRAINING:
                return 1;
            case LOADING:
                return 2;
            case FORMING:
                return 3;
            default:
                return 4;
        }
    }
}
