package org.baobabspindle.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names an availability zone.
 *
 * @param value the identifier; not blank
 */
public record AvailabilityZone(@JsonValue String value) implements Comparable<AvailabilityZone> {
    /** Checks the identifier. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public AvailabilityZone {
        Checks.identifier("availability zone", value);
    }

    /**
     * Returns the id for a text.
     *
     * @param value the identifier
     * @return the id
     * @throws IllegalArgumentException if the identifier is malformed
     */
    public static AvailabilityZone of(String value) {
        return new AvailabilityZone(value);
    }

    @Override
    public int compareTo(AvailabilityZone other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
