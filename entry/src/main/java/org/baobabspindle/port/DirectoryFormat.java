package org.baobabspindle.port;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.baobabspindle.core.id.AvailabilityZone;

/** The form in which callers ask for addresses and the platform asks for readiness. */
public interface DirectoryFormat {
    /**
     * Tells whether a request asks for readiness.
     *
     * @param method the HTTP method
     * @param path the path
     * @return whether it does
     */
    boolean isReadinessRequest(String method, String path);

    /**
     * Tells whether a request asks for the addresses of entries.
     *
     * @param method the HTTP method
     * @param path the path
     * @return whether it does
     */
    boolean isAddressRequest(String method, String path);

    /**
     * Finds the availability zone of the caller.
     *
     * @param query the query of the request, may be null
     * @return the zone, if the caller states one
     */
    Optional<AvailabilityZone> zone(String query);

    /**
     * Writes an answer as JSON.
     *
     * @param addresses the addresses, each with a port
     * @param lifetime how long the caller may keep them
     * @return the bytes
     */
    byte[] encodeAddresses(List<String> addresses, Duration lifetime);
}
