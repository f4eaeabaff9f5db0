package org.baobabspindle.core.fleet;

import java.time.Duration;

/**
 * Bounds on what a caller may send.
 *
 * @param maxHeaderBytes the longest header section, in bytes
 * @param maxBodyBytes the longest body, in bytes
 * @param headerTimeout how long a header section may take
 * @param idleTimeout how long a connection may stay idle
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {}
