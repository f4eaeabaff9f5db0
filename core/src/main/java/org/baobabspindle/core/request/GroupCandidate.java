package org.baobabspindle.core.request;

import java.time.Duration;
import org.baobabspindle.core.id.GroupId;

/**
 * A group that a request may be routed to, with its load as this entry knows it.
 *
 * @param group the group
 * @param sameZone whether the head of the group is in the availability zone of this entry
 * @param outstanding the number of unsettled requests that this entry has sent to the group
 * @param reportedRunning the number of running requests that the group last reported; it lags behind the actual number
 * @param timeToFirstToken the smoothed time to first token; zero if unknown
 */
public record GroupCandidate(
        GroupId group, boolean sameZone, int outstanding, int reportedRunning, Duration timeToFirstToken) {
    /**
     * Returns the estimated load: the larger of the reported number and the number sent by this entry.
     *
     * @return the number of requests
     */
    public int load() {
        return Math.max(outstanding, reportedRunning);
    }
}
