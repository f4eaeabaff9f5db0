package org.baobabspindle.port;

import java.util.Optional;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.FleetConfiguration;

/** Reads the platform's records; what cannot be read whole is empty. */
public interface FleetDecoder {
    /**
     * Reads a record of the configuration.
     *
     * @param record the record
     * @return the configuration; empty if the record holds another thing or cannot be read whole
     */
    Optional<FleetConfiguration> configuration(FeedRecord record);

    /**
     * Reads what a backend server says of itself.
     *
     * @param record the record
     * @return the backend server; empty if the record cannot be read whole
     */
    Optional<BackendServer> server(FeedRecord record);
}
