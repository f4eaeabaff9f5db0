package org.baobabspindle.core.crash;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import org.baobabspindle.core.id.Checks;
import org.baobabspindle.core.id.PromptPart;
import org.baobabspindle.core.id.RequestFingerprint;

/**
 * What may crash the servers that run a request: the request itself, identified by its fingerprint, or a part of its
 * prompt that other requests share.
 *
 * @param value the fingerprint, or the identifier of the prompt part after a prefix
 */
public record CrashCause(@JsonValue String value) {
    private static final String PART_PREFIX = "part/";

    /** Validates the value. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public CrashCause {
        Checks.identifier("crash cause", value);
    }

    /**
     * Returns the cause that is one request.
     *
     * @param request the fingerprint of the request
     * @return the cause
     */
    public static CrashCause of(RequestFingerprint request) {
        return new CrashCause(request.value());
    }

    /**
     * Returns the cause that is a part of a prompt.
     *
     * @param part the part
     * @return the cause
     */
    public static CrashCause of(PromptPart part) {
        return new CrashCause(PART_PREFIX + part.value());
    }

    /**
     * Returns whether this is a part of a prompt.
     *
     * @return whether other requests may share this cause
     */
    public boolean isPromptPart() {
        return value.startsWith(PART_PREFIX);
    }

    /**
     * Returns the identifier of this cause among those of its kind.
     *
     * @return the fingerprint, or the identifier of the prompt part
     */
    public String id() {
        return isPromptPart() ? value.substring(PART_PREFIX.length()) : value;
    }

    @Override
    public String toString() {
        return value;
    }
}
