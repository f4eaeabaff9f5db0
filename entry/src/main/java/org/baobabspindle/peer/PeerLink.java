package org.baobabspindle.peer;

import java.util.concurrent.CompletableFuture;

/**
 * A connection to another entry, from the start of connecting, with a count of the requests that use it. A retired link
 * accepts no new requests; its connection is closed once the requests that use it have ended.
 */
final class PeerLink {
    private final CompletableFuture<DialedConnection> connection = new CompletableFuture<>();
    private int requestsInFlight;
    private boolean retired;

    /** Returns a future that completes once the connection is authenticated; it fails if connecting or authentication fails. */
    CompletableFuture<DialedConnection> connection() {
        return connection;
    }

    /** Registers a request; returns false if the link is retired or its connection has failed or is closed. */
    synchronized boolean tryAcquire() {
        boolean closed = connection.isCompletedExceptionally()
                || (connection.isDone() && connection.join().closed());
        if (retired || closed) {
            return false;
        }
        requestsInFlight++;
        return true;
    }

    /** Unregisters a request; closes the connection if the link is retired and this was the last request. */
    void release() {
        boolean idle;
        synchronized (this) {
            requestsInFlight--;
            idle = retired && requestsInFlight == 0;
        }
        if (idle) {
            close();
        }
    }

    /** Stops accepting requests; closes the connection at once if no request uses it. */
    void retire() {
        boolean idle;
        synchronized (this) {
            retired = true;
            idle = requestsInFlight == 0;
        }
        if (idle) {
            close();
        }
    }

    void close() {
        connection.thenAccept(DialedConnection::close);
    }
}
