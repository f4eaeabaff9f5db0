/**
 * What entries know of the fleet they serve from: routes, client accounts, backend servers and the groups these form.
 */
package org.baobabspindle.core.fleet;
