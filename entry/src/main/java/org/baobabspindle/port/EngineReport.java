package org.baobabspindle.port;

import java.util.Optional;
import org.baobabspindle.core.fleet.GroupKey;

/**
 * What an engine says when asked; it may be some hundred milliseconds old.
 *
 * @param orderSequence the orders that it has begun since its start
 * @param bornMillis when it started, in Unix milliseconds
 * @param busy whether it is at an order, such as to stage weights
 * @param group the group that it is a member of
 */
public record EngineReport(long orderSequence, long bornMillis, boolean busy, Optional<GroupKey> group) {}
