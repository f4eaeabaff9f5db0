package org.baobabspindle.core.group;

import java.time.Instant;
import java.util.Optional;
import org.baobabspindle.core.id.GroupId;

/**
 * What is known of a group from the reports of its members.
 *
 * @param group the group
 * @param lifecycle the state of the group
 * @param confirmedAsOf a moment at or after which every member was ready, present when serving
 * @param running the requests that the first member is running
 */
public record GroupAssessment(GroupId group, Lifecycle lifecycle, Optional<Instant> confirmedAsOf, int running) {
    /**
     * Decides whether a request may be sent to the group now.
     *
     * @param now the present time
     * @param timings the bound on the age of a confirmation
     * @return whether the group takes work and every member confirmed recently
     */
    public boolean mayDispatch(Instant now, GroupTimings timings) {
        if (!lifecycle.acceptsRequests() || confirmedAsOf.isEmpty()) {
            return false;
        }
        return !confirmedAsOf.get().plus(timings.maxConfirmationAge()).isBefore(now);
    }
}
