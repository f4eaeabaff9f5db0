package org.baobabspindle.port;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.baobabspindle.core.fleet.EntryCapacity;
import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.core.id.Checks;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.id.Region;

/**
 * The settings of a gateway process.
 *
 * @param instance the instance on which it runs
 * @param host its IP address
 * @param zone its availability zone
 * @param regions the region of each availability zone
 * @param listeners the ports on which it listens
 * @param bounds the limits that the operator states for the whole system
 * @param leasePartitions the number of lease partitions over which the fabric domains are divided among the keepers
 * @param minLeaseDuration the minimum time to live of a lease
 * @param firstStart whether the whole system starts for the first time; false for a process that restarts or joins a
 *     running system
 * @param capacity the resources of the process; empty if the settings do not state them
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
        boolean firstStart,
        Optional<EntryCapacity> capacity) {
    /** Copies the regions. */
    public GatewaySettings {
        regions = Map.copyOf(regions);
    }

    /**
     * Creates settings that do not state the resources of the process.
     *
     * @param instance see {@link GatewaySettings}
     * @param host see {@link GatewaySettings}
     * @param zone see {@link GatewaySettings}
     * @param regions see {@link GatewaySettings}
     * @param listeners see {@link GatewaySettings}
     * @param bounds see {@link GatewaySettings}
     * @param leasePartitions see {@link GatewaySettings}
     * @param minLeaseDuration see {@link GatewaySettings}
     * @param firstStart see {@link GatewaySettings}
     */
    public GatewaySettings(
            InstanceId instance,
            String host,
            AvailabilityZone zone,
            Map<AvailabilityZone, Region> regions,
            Listeners listeners,
            Bounds bounds,
            int leasePartitions,
            Duration minLeaseDuration,
            boolean firstStart) {
        this(
                instance,
                host,
                zone,
                regions,
                listeners,
                bounds,
                leasePartitions,
                minLeaseDuration,
                firstStart,
                Optional.empty());
    }

    /**
     * The TCP ports of a gateway.
     *
     * @param callers the port for requests of callers
     * @param readiness the port for readiness checks of the platform
     * @param directory the port for address lookups of callers
     * @param peers the port for connections of other entries
     * @param metrics the port for metrics; empty if metrics are not served
     */
    public record Listeners(int callers, int readiness, int directory, int peers, OptionalInt metrics) {}

    /**
     * The limits that the operator states for the whole system.
     *
     * @param maxRevocationDelay the maximum time after its removal for which an API key may still be accepted
     * @param gracePeriod the time between the signal to stop and the kill of the process
     * @param retryRatio the maximum number of retries per request, over all entries
     * @param retryBurst the number of additional retries allowed in each window, over all entries
     * @param retryWindow the window in which retries are counted
     * @param maxStall the maximum time for which a group with a lost member may accept requests without serving them
     * @param addressReuseDelay how long the address of a lost backend server is not reused
     * @param loadWindow the window in which weight loads are counted
     * @param maxLoadFactor the factor by which weight loads in a window may exceed the rate of the weight store
     * @param maxDirectoryLifetime the maximum time for which callers may cache addresses
     * @param maxEvacuationDelay the maximum time after the acknowledgement of the evacuation of an availability zone for
     *     which requests may still reach backend servers there; empty for the default
     * @param maxConfigurationDelay the maximum time after the acknowledgement of a configuration for which an older one may
     *     be in force; empty for the default
     * @param coldOverage the factor by which requests to a cold server may exceed what it handles
     * @param coldSlack the further requests to a cold server that are allowed in any second
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
            Duration maxDirectoryLifetime,
            Optional<Duration> maxEvacuationDelay,
            Optional<Duration> maxConfigurationDelay,
            double coldOverage,
            double coldSlack) {
        /** Validates the bounds of requests to cold servers. */
        public Bounds {
            Checks.require(coldOverage >= 0, "cold overage must not be negative but was " + coldOverage);
            Checks.require(coldSlack >= 0, "cold slack must not be negative but was " + coldSlack);
        }
    }
}
