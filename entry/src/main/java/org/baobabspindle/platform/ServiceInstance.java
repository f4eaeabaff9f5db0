package org.baobabspindle.platform;

import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.core.id.Incarnation;

/**
 * An instance of a plain service in the instance list, which may lag behind the state of the platform.
 *
 * @param id the incarnation
 * @param service the service name
 * @param zone the availability zone
 * @param host the IP address
 * @param port the TCP port
 * @param leaving whether the platform has announced its termination
 */
public record ServiceInstance(
        Incarnation id, String service, AvailabilityZone zone, String host, int port, boolean leaving) {}
