package org.baobabspindle.port;

import java.util.Optional;
import org.baobabspindle.core.fleet.GroupKey;

/**
 * The state of an engine as it reports it; it may be some hundred milliseconds old.
 *
 * @param orderSequence the number of orders that it has started since the engine started
 * @param bornMillis when it started, in Unix milliseconds; 0 if the report does not state it
 * @param busy whether it is executing an order, such as to stage weights
 * @param group the group that it is a member of; empty if it is in none
 */
public record EngineReport(long orderSequence, long bornMillis, boolean busy, Optional<GroupKey> group) {}
