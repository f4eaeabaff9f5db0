package org.baobabspindle.core.group;

import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.core.id.FabricDomain;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.Region;

/**
 * A model engine as listed by the platform. The list may be out of date.
 *
 * @param id the incarnation
 * @param domain the fabric domain
 * @param zone the availability zone
 * @param region the region
 * @param host the IP address
 * @param port the TCP port
 * @param leaving whether the platform has announced that the instance is about to leave
 * @param checksFencing whether the engine rejects orders with an old fencing number
 * @param accelerators the number of accelerators of the instance
 */
public record PlatformInstance(
        Incarnation id,
        FabricDomain domain,
        AvailabilityZone zone,
        Region region,
        String host,
        int port,
        boolean leaving,
        boolean checksFencing,
        int accelerators) {}
