package org.baobabspindle.core.group;

import java.time.Instant;
import java.util.Optional;
import org.baobabspindle.core.configuration.Configuration;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.log.Group;

/** Judges a group by the reports of its members. */
public final class GroupAssessor {
    private final GroupTimings timings;

    /**
     * Creates an assessor.
     *
     * @param timings the bound on the age of a confirmation
     */
    public GroupAssessor(GroupTimings timings) {
        this.timings = timings;
    }

    /**
     * Judges a group.
     *
     * @param now the present time
     * @param group the group as the log records it
     * @param reports the reports of the engines
     * @param notBefore reports asked for earlier do not count, such as those before a keeper's quiet period ended
     * @param configuration the configuration in force, which names drained instances
     * @return the state of the group
     */
    public GroupAssessment assess(
            Instant now, Group group, ReportTable reports, Instant notBefore, Configuration configuration) {
        Instant confirmed = Instant.MAX;
        Lifecycle worst = Lifecycle.SERVING;
        for (Incarnation m : group.members()) {
            Optional<MemberReport> report = reports.of(m.instance());
            worst = worse(worst, judge(now, group, m, report, notBefore));
            if (configuration.isDrained(m.instance())
                    || report.map(MemberReport::leaving).orElse(false)) {
                worst = worse(worst, Lifecycle.DRAINING);
            }
            Instant askedAt = report.map(MemberReport::probeSentAt).orElse(Instant.MIN);
            confirmed = askedAt.isBefore(confirmed) ? askedAt : confirmed;
        }
        int running =
                reports.of(group.head().instance()).map(MemberReport::running).orElse(0);
        Optional<Instant> confirmedAsOf = worst == Lifecycle.SERVING ? Optional.of(confirmed) : Optional.empty();
        return new GroupAssessment(group.id(), worst, confirmedAsOf, running);
    }

    /** Returns the state of a group of which only one member is considered. */
    private Lifecycle judge(
            Instant now, Group group, Incarnation member, Optional<MemberReport> found, Instant notBefore) {
        if (found.isEmpty()) {
            return Lifecycle.FORMING;
        }
        MemberReport report = found.get();
        boolean old = report.probeSentAt().isBefore(notBefore);
        boolean silent = report.probeSentAt().plus(timings.maxConfirmationAge()).isBefore(now);
        if (old || silent || !report.member().equals(member)) {
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
