package org.baobabspindle.core.request;

/** An event in the course of an {@link Attempt}. */
public enum AttemptEvent {
    /** The first byte of the request is about to be sent to the backend server. */
    HAND_OVER_STARTED,
    /** The backend server reported that it refused the request without running it. */
    REFUSED_UNRUN,
    /** The first byte of the response was received. */
    ANSWER_STARTED,
    /** The response was received up to its explicit end marker. */
    ANSWER_ENDED,
    /** The connection failed, was closed early or could not be established. */
    CONNECTION_BROKEN,
    /** The deadline of the request passed. */
    DEADLINE_PASSED,
    /** The caller closed its connection. */
    CALLER_LEFT;

    /**
     * Returns whether this event was caused by the caller, in which case it is no evidence about the health of the
     * backend server.
     *
     * @return whether the caller closed its connection or the deadline passed
     */
    public boolean isCausedByCaller() {
        return this == CALLER_LEFT || this == DEADLINE_PASSED;
    }
}
