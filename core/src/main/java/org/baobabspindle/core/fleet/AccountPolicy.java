package org.baobabspindle.core.fleet;

import java.util.OptionalInt;
import org.baobabspindle.core.id.ClientAccountId;

/**
 * A client account that an API key belongs to.
 *
 * @param account the account
 * @param priority its rank, which goes before the rank of the route
 */
public record AccountPolicy(ClientAccountId account, OptionalInt priority) {}
