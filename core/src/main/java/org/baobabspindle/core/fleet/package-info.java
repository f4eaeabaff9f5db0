/**
 * The fleet as an entry (one of the equal front-end processes) sees it: routes, client accounts, backend servers and
 * their groups.
 */
package org.baobabspindle.core.fleet;
