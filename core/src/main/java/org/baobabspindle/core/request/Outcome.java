package org.baobabspindle.core.request;

import java.time.Duration;

/** The outcome of a caller request. */
public sealed interface Outcome {
    /** The caller received the complete response. */
    record Completed() implements Outcome {}

    /**
     * The request did not run: either no byte of it was sent to a backend server, or the backend server refused to run
     * it.
     *
     * @param reason why it did not run
     * @param retryAfter the delay after which the caller may retry
     */
    record NotRun(String reason, Duration retryAfter) implements Outcome {}

    /**
     * The request was refused because of its content or its caller; it did not run.
     *
     * @param kind the kind of refusal
     * @param reason why it was refused
     * @param retryAfter the delay after which the caller may retry; zero if a retry does not help
     */
    record Refused(RefusalKind kind, String reason, Duration retryAfter) implements Outcome {}

    /**
     * The request may have run and must not be repeated.
     *
     * @param reason why the outcome is unknown
     */
    record Unknown(String reason) implements Outcome {}
}
