package org.baobabspindle.core.request;

import java.time.Duration;

/** How a caller request ended. */
public sealed interface Outcome {
    /** The caller has its whole answer. */
    record Completed() implements Outcome {}

    /**
     * The request did not run: no backend server was handed any byte of it, or the one that was refused to run it.
     *
     * @param reason why
     * @param retryAfter when to come back
     */
    record NotRun(String reason, Duration retryAfter) implements Outcome {}

    /**
     * The request was declined for what it is or who sent it; it did not run.
     *
     * @param kind the ground
     * @param reason why
     * @param retryAfter when to come back; zero if coming back does not help
     */
    record Refused(RefusalKind kind, String reason, Duration retryAfter) implements Outcome {}

    /**
     * The request may have run and cannot be repeated.
     *
     * @param reason why
     */
    record Unknown(String reason) implements Outcome {}
}
