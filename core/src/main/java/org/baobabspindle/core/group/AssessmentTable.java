package org.baobabspindle.core.group;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.baobabspindle.core.id.GroupId;
import org.baobabspindle.core.log.GroupState;

/**
 * The latest assessment of each group that an entry has, received from the keeper of the domain or derived from the
 * reports of the members. Not thread-safe.
 */
public final class AssessmentTable {
    private final Map<GroupId, TimedAssessment> latest = new HashMap<>();

    /** Creates an empty table. */
    public AssessmentTable() {}

    private record TimedAssessment(Instant requestedAt, GroupAssessment assessment) {}

    /**
     * Adds an assessment unless a later one is known.
     *
     * @param requestedAt when the request that led to the assessment was sent
     * @param assessment the assessment
     */
    public void add(Instant requestedAt, GroupAssessment assessment) {
        latest.merge(
                assessment.group(),
                new TimedAssessment(requestedAt, assessment),
                (a, b) -> b.requestedAt().isBefore(a.requestedAt()) ? a : b);
    }

    /**
     * Marks a group that failed while serving as suspect. Until a later assessment arrives, no request is sent to it.
     *
     * @param now the current time
     * @param group the group
     */
    public void markSuspect(Instant now, GroupId group) {
        add(now, new GroupAssessment(group, Lifecycle.SUSPECT, Optional.empty(), 0));
    }

    /**
     * Returns the latest assessment of a group.
     *
     * @param group the group
     * @return the assessment, or empty if there is none
     */
    public Optional<GroupAssessment> of(GroupId group) {
        return Optional.ofNullable(latest.get(group)).map(TimedAssessment::assessment);
    }

    /**
     * Returns whether a request may be sent to a group now.
     *
     * @param now the current time
     * @param group the group
     * @param groups the groups that the log records
     * @param timings the timings, which limit the age of a confirmation
     * @return whether the log records the group and every member has confirmed recently that it is ready
     */
    public boolean mayDispatch(Instant now, GroupId group, GroupState groups, GroupTimings timings) {
        return groups.group(group).isPresent()
                && of(group).map(a -> a.mayDispatch(now, timings)).orElse(false);
    }

    /**
     * Removes the assessments of groups that the log no longer records.
     *
     * @param groups the groups that the log records
     */
    public void retain(GroupState groups) {
        latest.keySet().removeIf(g -> groups.group(g).isEmpty());
    }
}
