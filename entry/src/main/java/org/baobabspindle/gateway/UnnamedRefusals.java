package org.baobabspindle.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.time.Moment;

/**
 * Remembers the backend servers that refuse requests without naming them. Such a refusal is proven only on a connection
 * that has carried no other call, so for a while these servers get a new connection for each call.
 */
final class UnnamedRefusals {
    private static final Duration RETENTION = Duration.ofSeconds(30);

    private final Map<BackendServer.Lifetime, Moment> ends = new HashMap<>();

    /** A server has refused a request without naming it. */
    synchronized void record(BackendServer.Lifetime server, Moment now) {
        ends.values().removeIf(end -> !now.isBefore(end));
        ends.put(server, now.plus(RETENTION));
    }

    /** Returns whether the next refusal of a server is expected not to name its request. */
    synchronized boolean isExpected(BackendServer.Lifetime server, Moment now) {
        Moment end = ends.get(server);
        return end != null && now.isBefore(end);
    }
}
