package org.baobabspindle.port;

import org.baobabspindle.core.fleet.BackendServer;

/** Receives the head of each response of a backend server to an order or probe. */
public interface ResponseHeadListener {
    /**
     * Called when the head of a response has been received.
     *
     * @param server the backend server
     * @param head what the head tells about the server
     */
    void responseReceived(BackendServer server, ResponseHead head);
}
