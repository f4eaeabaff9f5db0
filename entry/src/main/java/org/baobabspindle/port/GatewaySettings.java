package org.baobabspindle.port;

import java.time.Duration;
import java.util.Map;
import java.util.OptionalInt;
import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.id.Region;

/**
 * The settings of a gateway.
 *
 * @param instance the instance it runs on
 * @param host its IP number
 * @param zone its availability zone
 * @param regions the region of each availability zone
 * @param listeners its ports
 * @param bounds the bounds that the users state
 * @param leasePartitions into how many partitions the keepers' work is divided
 * @param minLeaseDuration the shortest time to live of a lease
 * @param firstStart whether the whole system starts for the first time; false for a process that starts again or joins later
 */
public record GatewaySettings(
        InstanceId instance,
        String host,
        AvailabilityZone zone,
        Map<AvailabilityZone, Region> regions,
        Listeners listeners,
        Bounds bounds,
        int leasePartitions,
        Duration minLeaseDuration,
        boolean firstStart) {
    /** Copies the regions. */
    public GatewaySettings {
        regions = Map.copyOf(regions);
    }

    /**
     * The TCP ports of a gateway.
     *
     * @param callers where callers connect
     * @param readiness where the platform asks for readiness
     * @param directory where callers ask for addresses
     * @param peers where other entries connect
     * @param metrics where metrics are served; empty serves none
     */
    public record Listeners(int callers, int readiness, int directory, int peers, OptionalInt metrics) {}

    /**
     * The bounds that the users state.
     *
     * @param maxRevocationDelay how long after its removal an API key may still be used
     * @param gracePeriod the time from the signal to stop until the process is killed
     * @param retryRatio the retries for each request, over all entries
     * @param retryBurst the retries in each window beside those, over all entries
     * @param retryWindow the window of the retries
     * @param maxStall how long a group with a lost member accepts requests without serving them
     * @param addressReuseDelay how long the address of a lost backend server stays unused
     * @param loadWindow the window in which loads of weights are counted
     * @param maxLoadFactor how far loads may exceed the rate of the weight store in a window
     * @param maxDirectoryLifetime the longest time that callers keep addresses
     */
    public record Bounds(
            Duration maxRevocationDelay,
            Duration gracePeriod,
            double retryRatio,
            double retryBurst,
            Duration retryWindow,
            Duration maxStall,
            Duration addressReuseDelay,
            Duration loadWindow,
            double maxLoadFactor,
            Duration maxDirectoryLifetime) {}
}
