package org.baobabspindle.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The hash of the content of a request. Requests with the same client account, method, path, query and body have the
 * same fingerprint, whichever attempt or entry sends them.
 *
 * @param value the hash; not blank
 */
public record RequestFingerprint(@JsonValue String value) {
    /** Validates the hash. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public RequestFingerprint {
        Checks.identifier("request fingerprint", value);
    }

    /**
     * Returns the fingerprint with the given hash.
     *
     * @param value the hash
     * @return the fingerprint
     * @throws IllegalArgumentException if the hash is null, blank, too long or contains a control character
     */
    public static RequestFingerprint of(String value) {
        return new RequestFingerprint(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
