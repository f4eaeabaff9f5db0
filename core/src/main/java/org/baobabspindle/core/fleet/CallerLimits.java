package org.baobabspindle.core.fleet;

import java.time.Duration;

/**
 * The limits on connections and requests of callers.
 *
 * @param maxHeaderBytes the maximum size of a header section, in bytes
 * @param maxBodyBytes the maximum size of a body, in bytes
 * @param headerTimeout the maximum time to receive a header section
 * @param idleTimeout the maximum time that a connection may be idle
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {}
