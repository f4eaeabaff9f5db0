package org.baobabspindle.core.group;

import java.time.Instant;
import java.util.Optional;
import org.baobabspindle.core.id.GroupId;
import org.baobabspindle.core.id.Incarnation;

/**
 * What an engine said of itself.
 *
 * @param member the incarnation that answered
 * @param group the group it was ordered into, if any
 * @param readiness how far it is
 * @param leaving whether it says that it is about to leave
 * @param running the requests it is running
 * @param probeSentAt when the question was sent; the report is true of a moment not before this
 */
public record MemberReport(
        Incarnation member,
        Optional<GroupId> group,
        Readiness readiness,
        boolean leaving,
        int running,
        Instant probeSentAt) {}
