package org.baobabspindle.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The identifier of a fabric domain: the set of instances that share a fast interconnect. The members of a group are
 * all in one fabric domain.
 *
 * @param value the identifier; not blank
 */
public record FabricDomain(@JsonValue String value) implements Comparable<FabricDomain> {
    /** Validates the identifier. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public FabricDomain {
        Checks.identifier("fabric domain", value);
    }

    /**
     * Returns the fabric domain with the given identifier.
     *
     * @param value the identifier
     * @return the fabric domain
     * @throws IllegalArgumentException if the identifier is null, blank, too long or contains a control character
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
