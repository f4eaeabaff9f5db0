package org.baobabspindle.core.group;

import java.time.Instant;
import java.util.Optional;
import org.baobabspindle.core.id.GroupId;

/**
 * The state of a group, derived from the reports of its members.
 *
 * @param group the group
 * @param lifecycle the state of the group
 * @param confirmedAsOf a moment at or after which every member was ready; present only while the group serves
 * @param running the number of requests that the head is running
 */
public record GroupAssessment(GroupId group, Lifecycle lifecycle, Optional<Instant> confirmedAsOf, int running) {
    /**
     * Returns whether a request may be sent to the group now.
     *
     * @param now the current time
     * @param timings the timings, which limit the age of a confirmation
     * @return whether the group accepts requests and every member has confirmed recently that it is ready
     */
    public boolean mayDispatch(Instant now, GroupTimings timings) {
        if (!lifecycle.acceptsRequests() || confirmedAsOf.isEmpty()) {
            return false;
        }
        return !confirmedAsOf.get().plus(timings.maxConfirmationAge()).isBefore(now);
    }
}
