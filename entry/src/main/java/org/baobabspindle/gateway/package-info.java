/**
 * An entry, one of the equal front-end processes, on the platform of a user: the HTTP requests of callers, the view of
 * the fleet, the keeper of groups, and the state exchange with other entries. Decisions are made in {@code core}; the
 * platform is accessed through the interfaces of {@code port}.
 *
 * <p>Threads share two tables, each with a lock: {@link org.baobabspindle.gateway.FleetTable} and
 * {@link org.baobabspindle.gateway.Dispatcher}. A {@link org.baobabspindle.gateway.CallerExchange} has a lock of its
 * own. Locks are acquired in the order exchange, dispatcher, fleet.
 */
package org.baobabspindle.gateway;
