package org.baobabspindle.port;

import java.util.Optional;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.io.Connection;

/**
 * A connection that counts its calls, and bounds the bytes received for a call that are not content, such as heads and the
 * framing of chunks. Whoever receives content reports it; bytes that are not reported count as overhead.
 */
public interface MeteredConnection {
    /** A call is about to be sent. */
    void callBegan();

    /**
     * Returns how many calls have begun on this connection.
     *
     * @return the number of calls, the current one included
     */
    int calls();

    /**
     * A part of the content of the current call was received.
     *
     * @param count the number of bytes
     */
    void contentReceived(int count);

    /** Closes the connection after the current call, so that no other one uses it. */
    void closeAfterCall();

    /**
     * Returns whether the connection may carry another call.
     *
     * @return false once {@link #closeAfterCall()} was called
     */
    boolean isReusable();

    /**
     * Returns the connection of a request.
     *
     * @param request a request; it has no connection before it begins
     * @return the connection; empty if there is none or if it is not metered
     */
    static Optional<MeteredConnection> of(Request request) {
        return of(request.getConnection());
    }

    /**
     * Returns a connection of an HTTP client as a metered one.
     *
     * @param connection the connection; null if there is none
     * @return the connection; empty if there is none or if it is not metered
     */
    static Optional<MeteredConnection> of(org.eclipse.jetty.client.Connection connection) {
        return connection instanceof Connection c && c.getEndPoint() instanceof MeteredConnection m
                ? Optional.of(m)
                : Optional.empty();
    }
}
