package org.baobabspindle.core.request;

import java.time.Duration;
import org.baobabspindle.core.id.GroupId;

/**
 * A group that may take a request, with what is known of its load.
 *
 * @param group the group
 * @param sameZone whether its first member runs in the availability zone of this entry
 * @param outstanding the requests this entry has given it that are not settled
 * @param reportedRunning the requests it said it was running, late
 * @param timeToFirstToken the smoothed time to the first token; zero if unknown
 */
public record GroupCandidate(
        GroupId group, boolean sameZone, int outstanding, int reportedRunning, Duration timeToFirstToken) {
    /**
     * Returns the load that is assumed: the larger of what was reported and what this entry itself gave.
     *
     * @return the number of requests
     */
    public int load() {
        return Math.max(outstanding, reportedRunning);
    }
}
