package org.baobabspindle.core.fleet;

import org.baobabspindle.core.id.Checks;

/**
 * Identifies one generation of a group.
 *
 * @param name the name of the group
 * @param epoch the epoch of the generation; not negative and increasing across all groups
 */
public record GroupKey(String name, long epoch) {
    /** Validates the name and the epoch. */
    public GroupKey {
        Checks.identifier("group", name);
        Checks.notNegative("epoch", epoch);
    }

    @Override
    public String toString() {
        return name + "@" + epoch;
    }
}
