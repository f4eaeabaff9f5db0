package org.baobabspindle.port;

import org.baobabspindle.core.fleet.BackendServer;

/** Hears what backend servers say of themselves in the heads of their answers to orders and probes. */
public interface ResponseHeadListener {
    /**
     * Takes over the head of an answer.
     *
     * @param server the backend server
     * @param status the status
     * @param leaves whether the server says that it leaves
     * @param retryAfter when it wants to be asked again, in seconds, as it says it; null if it does not
     */
    void responseReceived(BackendServer server, int status, boolean leaves, String retryAfter);
}
