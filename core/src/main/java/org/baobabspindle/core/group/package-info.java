/** Decisions of the keeper of a fabric domain: forming, repairing, draining and dissolving groups. */
package org.baobabspindle.core.group;
