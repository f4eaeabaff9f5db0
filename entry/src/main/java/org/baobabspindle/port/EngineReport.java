package org.baobabspindle.port;

/**
 * What an engine says when asked; it may be some hundred milliseconds old.
 *
 * @param orderSequence the orders that it has begun since its start
 * @param bornMillis when it started, in Unix milliseconds
 */
public record EngineReport(long orderSequence, long bornMillis) {}
