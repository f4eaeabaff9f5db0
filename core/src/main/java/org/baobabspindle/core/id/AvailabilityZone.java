package org.baobabspindle.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The identifier of an availability zone.
 *
 * @param value the identifier; not blank
 */
public record AvailabilityZone(@JsonValue String value) implements Comparable<AvailabilityZone> {
    /** Validates the identifier. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public AvailabilityZone {
        Checks.identifier("availability zone", value);
    }

    /**
     * Returns the availability zone with the given identifier.
     *
     * @param value the identifier
     * @return the availability zone
     * @throws IllegalArgumentException if the identifier is null, blank, too long or contains a control character
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
