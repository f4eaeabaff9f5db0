package org.baobabspindle.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a fabric domain: the set of instances that share a fast interconnect.
 *
 * @param value the identifier; not blank
 */
public record FabricDomain(@JsonValue String value) implements Comparable<FabricDomain> {
    /** Checks the identifier. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public FabricDomain {
        Checks.identifier("fabric domain", value);
    }

    /**
     * Returns the id for a text.
     *
     * @param value the identifier
     * @return the id
     * @throws IllegalArgumentException if the identifier is malformed
     */
    public static FabricDomain of(String value) {
        return new FabricDomain(value);
    }

    @Override
    public int compareTo(FabricDomain other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
