package org.baobabspindle.core.crash;

import org.baobabspindle.core.fleet.BackendServer;

/**
 * A crash of a backend server and one of its possible causes.
 *
 * @param cause the possible cause: a request that the server was running, or a part of the prompt of one
 * @param server the lifetime of the backend server that crashed
 * @param failureDomain the failure domain of the server, whose servers can fail together
 */
public record Crash(CrashCause cause, BackendServer.Lifetime server, String failureDomain) {
    /**
     * Returns the crash of a backend server.
     *
     * @param cause the possible cause
     * @param server the backend server
     * @return the crash
     */
    static Crash of(CrashCause cause, BackendServer server) {
        return new Crash(cause, server.lifetime(), server.failureDomain());
    }
}
