package org.baobabspindle.core.request;

/** What can happen to an attempt to run a request on a backend server. */
public enum AttemptEvent {
    /** The first byte is about to be written to the backend server. */
    HAND_OVER_STARTED,
    /** The backend server answered that it refused before running. */
    REFUSED_UNRUN,
    /** The first byte of an answer arrived. */
    ANSWER_STARTED,
    /** The answer ended with its explicit end. */
    ANSWER_ENDED,
    /** The connection failed, closed early or could not be made. */
    CONNECTION_BROKEN,
    /** The deadline of the request passed. */
    DEADLINE_PASSED,
    /** The caller closed its connection. */
    CALLER_LEFT;

    /**
     * Tells whether the end of an attempt was brought about by the caller, so that it says nothing of the backend
     * server.
     *
     * @return whether the caller left or its deadline passed
     */
    public boolean isCausedByCaller() {
        return this == CALLER_LEFT || this == DEADLINE_PASSED;
    }
}
