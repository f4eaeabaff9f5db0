package org.baobabspindle.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The identifier of a region.
 *
 * @param value the identifier; not blank
 */
public record Region(@JsonValue String value) implements Comparable<Region> {
    /** Validates the identifier. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public Region {
        Checks.identifier("region", value);
    }

    /**
     * Returns the region with the given identifier.
     *
     * @param value the identifier
     * @return the region
     * @throws IllegalArgumentException if the identifier is null, blank, too long or contains a control character
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
