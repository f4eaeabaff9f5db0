package org.baobabspindle.core.fleet;

import org.baobabspindle.core.id.Checks;

/**
 * Identifies one generation of a group.
 *
 * @param name the name of the group
 * @param epoch the epoch of the generation; not negative and increasing across all groups
 */
public record GroupKey(String name, long epoch) {
    /** The maximum length of a name, in UTF-16 code units; it holds two identifiers, of an instance and a model. */
    private static final int MAX_NAME_LENGTH = 3 * Checks.MAX_IDENTIFIER_LENGTH;

    /** Validates the name and the epoch. */
    public GroupKey {
        Checks.identifier("group", name, MAX_NAME_LENGTH);
        Checks.notNegative("epoch", epoch);
    }

    @Override
    public String toString() {
        return name + "@" + epoch;
    }
}
