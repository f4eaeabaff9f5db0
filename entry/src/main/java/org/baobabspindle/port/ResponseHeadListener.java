package org.baobabspindle.port;

import org.baobabspindle.core.fleet.BackendServer;

/** Receives the status and headers of each response of a backend server to an order or probe. */
public interface ResponseHeadListener {
    /**
     * Called when the head of a response has been received.
     *
     * @param server the backend server
     * @param status the HTTP status
     * @param leaves whether the server reports that it is leaving
     * @param retryAfter the value of the Retry-After header, in seconds; null if the header is absent
     */
    void responseReceived(BackendServer server, int status, boolean leaves, String retryAfter);
}
