package org.baobabspindle.port;

import java.util.Optional;
import org.baobabspindle.core.fleet.FleetConfiguration;
import org.baobabspindle.core.fleet.ServerRegistration;
import org.baobabspindle.core.id.AvailabilityZone;

/** Decodes the records of the platform's feeds; returns empty for a record that cannot be decoded completely. */
public interface FleetDecoder {
    /**
     * Decodes a record of the {@link Feed#CONFIGURATION} feed.
     *
     * @param record the record
     * @return the configuration; empty if the record is of another kind or cannot be decoded completely
     */
    Optional<FleetConfiguration> configuration(FeedRecord record);

    /**
     * Decodes a record of the {@link Feed#BACKEND_SERVERS} feed.
     *
     * @param record the record
     * @return the registration of the backend server; empty if the record cannot be decoded completely
     */
    Optional<ServerRegistration> server(FeedRecord record);

    /**
     * Decodes the availability zone that a record of the {@link Feed#CONFIGURATION} feed evacuates. Without a content, the
     * record withdraws the evacuation.
     *
     * @param record the record
     * @return the zone; empty if the record is of another kind or names no valid zone
     */
    default Optional<AvailabilityZone> evacuatedZone(FeedRecord record) {
        return Optional.empty();
    }
}
