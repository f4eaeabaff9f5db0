package org.baobabspindle.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names what a caller asks for, whichever attempt asks for it. Attempts with the same client account, method, path, query and
 * body have the same fingerprint.
 *
 * @param value the hash of these parts
 */
public record RequestFingerprint(@JsonValue String value) {
    /** Checks the hash. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public RequestFingerprint {
        Checks.identifier("request fingerprint", value);
    }

    /**
     * Returns the fingerprint for a hash.
     *
     * @param value the hash
     * @return the fingerprint
     * @throws IllegalArgumentException if the hash is malformed
     */
    public static RequestFingerprint of(String value) {
        return new RequestFingerprint(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
