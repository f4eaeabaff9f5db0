package org.baobabspindle.core.group;

import java.time.Instant;
import java.util.Optional;
import org.baobabspindle.core.id.GroupId;
import org.baobabspindle.core.id.Incarnation;

/**
 * The state of an engine as it reported it in the response to a probe.
 *
 * @param member the incarnation that responded
 * @param group the group that the engine was assigned to, if any
 * @param readiness how far the engine is in loading its part of the model
 * @param leaving whether the engine announced that it is about to leave
 * @param running the number of requests that the engine is running
 * @param probeSentAt when the probe was sent; the report describes the engine at this moment or later
 */
public record MemberReport(
        Incarnation member,
        Optional<GroupId> group,
        Readiness readiness,
        boolean leaving,
        int running,
        Instant probeSentAt) {}
