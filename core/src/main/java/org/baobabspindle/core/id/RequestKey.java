package org.baobabspindle.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The idempotency key that a caller attaches to a request. Keys are scoped to a client account.
 *
 * @param value the text of the key; not blank
 */
public record RequestKey(@JsonValue String value) implements Comparable<RequestKey> {
    /** Validates the text of the key. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public RequestKey {
        Checks.identifier("idempotency key", value);
    }

    /**
     * Returns the idempotency key with the given text.
     *
     * @param value the text of the key
     * @return the idempotency key
     * @throws IllegalArgumentException if the text is null, blank, too long or contains a control character
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
