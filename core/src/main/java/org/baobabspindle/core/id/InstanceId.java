package org.baobabspindle.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names an instance of the platform; an instance that is replaced keeps no identity.
 *
 * @param value the identifier; not blank
 */
public record InstanceId(@JsonValue String value) implements Comparable<InstanceId> {
    /** Checks the identifier. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public InstanceId {
        Checks.identifier("instance", value);
    }

    /**
     * Returns the id for a text.
     *
     * @param value the identifier
     * @return the id
     * @throws IllegalArgumentException if the identifier is malformed
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
