package org.baobabspindle.core.crash;

import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.id.RequestFingerprint;

/**
 * A crash of a backend server while it was running a request.
 *
 * @param request the fingerprint of the request
 * @param server the lifetime of the backend server that crashed
 * @param failureDomain the failure domain of the server, whose servers can fail together
 */
public record Crash(RequestFingerprint request, BackendServer.Lifetime server, String failureDomain) {
    /**
     * Returns the crash of a backend server.
     *
     * @param request the fingerprint of a request that it was running
     * @param server the backend server
     * @return the crash
     */
    static Crash of(RequestFingerprint request, BackendServer server) {
        return new Crash(request, server.lifetime(), server.failureDomain());
    }
}
