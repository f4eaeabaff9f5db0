/** Decides whether an entry may rely on the configuration it has, and when a change counts as accepted everywhere. */
package org.baobabspindle.core.freshness;
