package org.baobabspindle.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a region.
 *
 * @param value the identifier; not blank
 */
public record Region(@JsonValue String value) implements Comparable<Region> {
    /** Checks the identifier. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public Region {
        Checks.identifier("region", value);
    }

    /**
     * Returns the id for a text.
     *
     * @param value the identifier
     * @return the id
     * @throws IllegalArgumentException if the identifier is malformed
     */
    public static Region of(String value) {
        return new Region(value);
    }

    @Override
    public int compareTo(Region other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
