package org.baobabspindle.core.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.time.Moment;

/**
 * Tracks the backend servers that have rejected a request and asked for a delay before the next one. Until the delay
 * has passed, requests go to servers with free capacity.
 */
public final class ServerBackoff {
    private final Map<BackendServer.Lifetime, Moment> backoffEnds = new HashMap<>();

    /** Creates an object without backoffs. */
    public ServerBackoff() {}

    /**
     * Starts a backoff, or extends the present one. A backoff is never shortened.
     *
     * @param server the server
     * @param delay the delay that the server asked for
     * @param now the present time
     */
    public void backOff(BackendServer.Lifetime server, Duration delay, Moment now) {
        backoffEnds.values().removeIf(m -> !now.isBefore(m));
        Moment end = now.plus(delay);
        backoffEnds.merge(server, end, (a, b) -> a.isBefore(b) ? b : a);
    }

    /**
     * Returns whether requests may be sent to a server.
     *
     * @param server the server
     * @param now the present time
     * @return true if the server has no backoff or its backoff has ended
     */
    public boolean isAvailable(BackendServer.Lifetime server, Moment now) {
        Moment end = backoffEnds.get(server);
        return end == null || !now.isBefore(end);
    }
}
