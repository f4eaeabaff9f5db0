package org.baobabspindle.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The identifier of a client account, the unit to which entitlements and rate limits apply.
 *
 * @param value the identifier; not blank
 */
public record ClientAccountId(@JsonValue String value) implements Comparable<ClientAccountId> {
    /** Validates the identifier. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public ClientAccountId {
        Checks.identifier("client account", value);
    }

    /**
     * Returns the client account id with the given identifier.
     *
     * @param value the identifier
     * @return the client account id
     * @throws IllegalArgumentException if the identifier is null, blank, too long or contains a control character
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
