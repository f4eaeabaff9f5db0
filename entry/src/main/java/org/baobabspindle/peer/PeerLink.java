package org.baobabspindle.peer;

import java.util.concurrent.CompletableFuture;

/**
 * A connection to another entry, from the moment that it is dialed, and the questions that use it. A link that is retired
 * takes no new questions; its connection is closed once those that use it have ended.
 */
final class PeerLink {
    private final CompletableFuture<DialedConnection> opened = new CompletableFuture<>();
    private int asking;
    private boolean retired;

    /** Completes once the connection has proven itself; fails if it could not be opened. */
    CompletableFuture<DialedConnection> opened() {
        return opened;
    }

    /** Adds a question; returns false if the link takes none any more. */
    synchronized boolean begin() {
        boolean ended = opened.isCompletedExceptionally()
                || (opened.isDone() && opened.join().closed());
        if (retired || ended) {
            return false;
        }
        asking++;
        return true;
    }

    /** Ends a question. */
    void end() {
        boolean unused;
        synchronized (this) {
            asking--;
            unused = retired && asking == 0;
        }
        if (unused) {
            close();
        }
    }

    /** Takes no new questions. */
    void retire() {
        boolean unused;
        synchronized (this) {
            retired = true;
            unused = asking == 0;
        }
        if (unused) {
            close();
        }
    }

    void close() {
        opened.thenAccept(DialedConnection::close);
    }
}
