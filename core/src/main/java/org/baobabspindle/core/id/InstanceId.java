package org.baobabspindle.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The identifier of a platform instance. A replacement for an instance gets a new identifier.
 *
 * @param value the identifier; not blank
 */
public record InstanceId(@JsonValue String value) implements Comparable<InstanceId> {
    /** Validates the identifier. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public InstanceId {
        Checks.identifier("instance", value);
    }

    /**
     * Returns the instance id with the given identifier.
     *
     * @param value the identifier
     * @return the instance id
     * @throws IllegalArgumentException if the identifier is null, blank, too long or contains a control character
     */
    public static InstanceId of(String value) {
        return new InstanceId(value);
    }

    @Override
    public int compareTo(InstanceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
