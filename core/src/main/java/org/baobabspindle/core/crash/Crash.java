package org.baobabspindle.core.crash;

import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.id.RequestFingerprint;

/**
 * The end of a backend server that was running a request.
 *
 * @param request the request
 * @param server the life of the backend server that ended
 * @param failureDomain what may take this server and others down at once
 */
public record Crash(RequestFingerprint request, BackendServer.Lifetime server, String failureDomain) {
    /**
     * Returns the crash of a backend server.
     *
     * @param request the request that it was running
     * @param server the backend server
     * @return the crash
     */
    static Crash of(RequestFingerprint request, BackendServer server) {
        return new Crash(request, server.lifetime(), server.failureDomain());
    }
}
