package org.baobabspindle.core.group;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.baobabspindle.core.id.GroupId;
import org.baobabspindle.core.log.GroupState;

/**
 * What an entry last heard of each group, from the keeper of its domain or from the members themselves. Not safe for
 * use by several threads.
 */
public final class AssessmentTable {
    private final Map<GroupId, Heard> heard = new HashMap<>();

    /** Creates an empty table. */
    public AssessmentTable() {}

    private record Heard(Instant askedAt, GroupAssessment assessment) {}

    /**
     * Notes an assessment unless a later one is known.
     *
     * @param askedAt when the question that led to it was sent
     * @param assessment the assessment
     */
    public void add(Instant askedAt, GroupAssessment assessment) {
        heard.merge(
                assessment.group(),
                new Heard(askedAt, assessment),
                (a, b) -> b.askedAt().isBefore(a.askedAt()) ? a : b);
    }

    /**
     * Notes that a group broke while it was serving, so that nothing more is sent to it until it is heard of again.
     *
     * @param now the present time
     * @param group the group
     */
    public void markSuspect(Instant now, GroupId group) {
        add(now, new GroupAssessment(group, Lifecycle.SUSPECT, Optional.empty(), 0));
    }

    /**
     * Returns the last assessment of a group.
     *
     * @param group the group
     * @return the assessment, or empty if nothing was heard
     */
    public Optional<GroupAssessment> of(GroupId group) {
        return Optional.ofNullable(heard.get(group)).map(Heard::assessment);
    }

    /**
     * Decides whether a request may be sent to a group now.
     *
     * @param now the present time
     * @param group the group
     * @param groups the groups that the log records
     * @param timings the bound on the age of a confirmation
     * @return whether the log has the group and every member confirmed it recently
     */
    public boolean mayDispatch(Instant now, GroupId group, GroupState groups, GroupTimings timings) {
        return groups.group(group).isPresent()
                && of(group).map(a -> a.mayDispatch(now, timings)).orElse(false);
    }

    /**
     * Forgets groups that the log no longer records.
     *
     * @param groups the groups that the log records
     */
    public void retain(GroupState groups) {
        heard.keySet().removeIf(g -> groups.group(g).isEmpty());
    }
}
