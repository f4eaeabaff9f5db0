package org.baobabspindle.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a client account, the unit of entitlement and of limits.
 *
 * @param value the identifier; not blank
 */
public record ClientAccountId(@JsonValue String value) implements Comparable<ClientAccountId> {
    /** Checks the identifier. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public ClientAccountId {
        Checks.identifier("client account", value);
    }

    /**
     * Returns the id for a text.
     *
     * @param value the identifier
     * @return the id
     * @throws IllegalArgumentException if the identifier is malformed
     */
    public static ClientAccountId of(String value) {
        return new ClientAccountId(value);
    }

    @Override
    public int compareTo(ClientAccountId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
