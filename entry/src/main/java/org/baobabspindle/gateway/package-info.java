/**
 * An entry on a platform of the users: callers' requests over HTTP, what it knows of the fleet, the keeper of groups, and
 * other entries. Decisions are made in {@code core}; the platform is met through {@code port}.
 *
 * <p>Workers share two tables, each with a lock: {@link org.baobabspindle.gateway.FleetTable} and
 * {@link org.baobabspindle.gateway.Dispatcher}. A {@link org.baobabspindle.gateway.CallerExchange} has a lock of its own.
 * Locks are taken in the order exchange, dispatcher, fleet.
 */
package org.baobabspindle.gateway;
