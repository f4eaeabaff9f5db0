package org.baobabspindle.core.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.time.Moment;

/**
 * The backend servers that have asked to be left alone for a while. Answers servers that turn requests away while others
 * have room: requests go to those, and none tries the server again before its time is over.
 */
public final class ServerBackoff {
    private final Map<BackendServer.Lifetime, Moment> until = new HashMap<>();

    /** Creates an object that knows of no pause. */
    public ServerBackoff() {}

    /**
     * Notes that a server wants nothing for a time. A pause that is under way is never shortened.
     *
     * @param server the server
     * @param time how long
     * @param now the present time
     */
    public void backOff(BackendServer.Lifetime server, Duration time, Moment now) {
        until.values().removeIf(m -> !now.isBefore(m));
        Moment end = now.plus(time);
        until.merge(server, end, (a, b) -> a.isBefore(b) ? b : a);
    }

    /**
     * Tells whether requests may be sent to a server.
     *
     * @param server the server
     * @param now the present time
     * @return whether its pause is over
     */
    public boolean isAvailable(BackendServer.Lifetime server, Moment now) {
        Moment end = until.get(server);
        return end == null || !now.isBefore(end);
    }
}
