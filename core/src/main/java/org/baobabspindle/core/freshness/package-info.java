/**
 * Decides whether the configuration of an entry is fresh, and when a configuration change is accepted in all regions.
 */
package org.baobabspindle.core.freshness;
