package org.baobabspindle.port;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.baobabspindle.core.id.AvailabilityZone;

/** The format of the requests by which callers look up entry addresses and the platform checks readiness. */
public interface DirectoryFormat {
    /**
     * Returns whether a request is a readiness check.
     *
     * @param method the HTTP method
     * @param path the path
     * @return whether it does
     */
    boolean isReadinessRequest(String method, String path);

    /**
     * Returns whether a request looks up the addresses of entries.
     *
     * @param method the HTTP method
     * @param path the path
     * @return whether it does
     */
    boolean isAddressRequest(String method, String path);

    /**
     * Returns the availability zone that the caller states in its query.
     *
     * @param query the query string of the request; may be null
     * @return the zone; empty if the query states none
     */
    Optional<AvailabilityZone> zone(String query);

    /**
     * Encodes the response to an address lookup as JSON.
     *
     * @param addresses the addresses, in the form {@code host:port}
     * @param lifetime how long the caller may cache them
     * @return the UTF-8 bytes of the document
     */
    byte[] encodeAddresses(List<String> addresses, Duration lifetime);
}
