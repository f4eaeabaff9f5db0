package org.baobabspindle.core.group;

import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.core.id.FabricDomain;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.Region;

/**
 * A model engine as the platform's instance list shows it, possibly late.
 *
 * @param id the incarnation
 * @param domain the fabric domain
 * @param zone the availability zone
 * @param region the region
 * @param host the IP number
 * @param port the TCP port
 * @param leaving whether the platform has announced that the instance leaves
 * @param checksFencing whether the engine refuses orders with an old fencing number
 * @param accelerators the accelerators of the instance
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
