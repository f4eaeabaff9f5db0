package org.baobabspindle.core.log;

import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.Region;

/**
 * The location and addresses of an entry, one of the equal front-end processes that take the requests of callers.
 *
 * @param id the incarnation
 * @param zone the availability zone
 * @param region the region
 * @param callerUrl the base URL for callers, such as {@code http://127.0.0.1:8080}
 * @param peerHost the IP address for other entries
 * @param peerPort the TCP port for other entries
 * @param leaving whether the entry stops soon and is no longer offered to callers
 */
public record EntryDescription(
        Incarnation id,
        AvailabilityZone zone,
        Region region,
        String callerUrl,
        String peerHost,
        int peerPort,
        boolean leaving) {
    EntryDescription asLeaving() {
        return new EntryDescription(id, zone, region, callerUrl, peerHost, peerPort, true);
    }
}
