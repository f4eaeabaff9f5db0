package org.baobabspindle.core.crash;

import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.id.RequestFingerprint;

/**
 * The end of a backend server that was running a request.
 *
 * @param request the request
 * @param server the life of the backend server that ended
 */
public record Crash(RequestFingerprint request, BackendServer.Lifetime server) {}
