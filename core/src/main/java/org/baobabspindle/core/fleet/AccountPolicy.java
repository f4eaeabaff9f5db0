package org.baobabspindle.core.fleet;

import java.util.OptionalInt;
import org.baobabspindle.core.id.ClientAccountId;

/**
 * The client account of an API key, with its priority.
 *
 * @param account the account
 * @param priority the priority of its requests, 0 is the highest; overrides the priority of the route; empty if none is
 *     set
 */
public record AccountPolicy(ClientAccountId account, OptionalInt priority) {}
