package org.baobabspindle.core.fleet;

import java.time.Duration;
import java.util.Optional;

/**
 * A record by which a backend server registers.
 *
 * @param server the backend server as the record describes it
 * @param sequence the number of the record, which increases with each record of one lifetime of the server
 * @param coldLeft how much longer the server stays cold, as of the time the record was written; empty if not stated
 */
public record ServerRegistration(BackendServer server, long sequence, Optional<Duration> coldLeft) {
    /**
     * Creates a registration that does not state whether the server is cold.
     *
     * @param server the backend server as the record describes it
     * @param sequence the number of the record
     */
    public ServerRegistration(BackendServer server, long sequence) {
        this(server, sequence, Optional.empty());
    }

    /**
     * Returns whether this registration was written before another one of the same server.
     *
     * @param other the other registration
     * @return whether it belongs to an earlier lifetime, or to the same one and has a lower number
     */
    public boolean isBefore(ServerRegistration other) {
        return server.bornMillis() == other.server.bornMillis()
                ? sequence < other.sequence
                : server.bornMillis() < other.server.bornMillis();
    }
}
