package org.baobabspindle.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The idempotency key of a caller request.
 *
 * @param value the identifier; not blank
 */
public record RequestKey(@JsonValue String value) implements Comparable<RequestKey> {
    /** Checks the identifier. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public RequestKey {
        Checks.identifier("idempotency key", value);
    }

    /**
     * Returns the id for a text.
     *
     * @param value the identifier
     * @return the id
     * @throws IllegalArgumentException if the identifier is malformed
     */
    public static RequestKey of(String value) {
        return new RequestKey(value);
    }

    @Override
    public int compareTo(RequestKey other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
