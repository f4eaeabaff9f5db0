package org.baobabspindle.gateway;

/** The reason for which this entry refuses a request, with the HTTP status of the response. */
enum Refusal {
    /** No configuration has been received yet. */
    NOT_CONFIGURED(503),
    /** The configuration is not proven recent enough to accept API keys. */
    KEYS_UNPROVEN(503),
    /**
     * The key or route is unknown, but the configuration is not proven recent enough to reject it permanently; or
     * callers, or the entry that relays the request, have seen a later one.
     */
    CONFIGURATION_STALE(503),
    /** No route matches. */
    NO_ROUTE(404),
    /** The API key is missing or unknown. */
    UNKNOWN_KEY(401),
    /** The body exceeds the size limit. */
    TOO_LARGE(413),
    /** The framing of the body is invalid. */
    MALFORMED_BODY(400),
    /** The body has not arrived by the deadline. */
    BODY_TIMEOUT(408),
    /** There is no memory for the body. */
    OVERLOADED(503),
    /** The request is quarantined because backend servers crashed each time that they ran it. */
    CRASHES_SERVERS(503),
    /** No backend server can take the request in time. */
    NO_CAPACITY(503),
    /** The backend servers to which the request was sent did not run it. */
    NOT_RUN(503),
    /** The entry is shutting down. */
    STOPPING(503),
    /** The entry is partitioned from all backend servers, and no other entry can take the request. */
    PARTITIONED(503),
    /** An unexpected exception occurred before the request was sent to a backend server. */
    INTERNAL_ERROR(503),
    /** The request may have run, but no complete response was received. */
    BROKEN(502),
    /** The deadline of a request that may have run has passed. */
    TIMED_OUT(504);

    private final int status;

    Refusal(int status) {
        this.status = status;
    }

    int status() {
        return status;
    }

    /** Returns whether the caller may retry the request, because it has not run. */
    boolean retryable() {
        return status == 503;
    }

    /** Returns whether the status promises that the request has not run and never will. */
    boolean isPromise() {
        return status == 503 || status == 408;
    }

    /** Returns the name of the refusal for another entry, which may run an earlier version. */
    String nameForEntries() {
        return switch (this) {
            case OVERLOADED, BODY_TIMEOUT -> NO_CAPACITY.name();
            default -> name();
        };
    }

    /** Returns whether a backend server may have run the request. */
    boolean mayHaveRun() {
        return this == BROKEN || this == TIMED_OUT;
    }

    /** Returns whether the reason concerns only the entry that refuses, so that another one may serve the request. */
    boolean specificToEntry() {
        return switch (this) {
            case NOT_CONFIGURED, KEYS_UNPROVEN, CONFIGURATION_STALE, STOPPING, PARTITIONED -> true;
            case NO_ROUTE,
                    UNKNOWN_KEY,
                    TOO_LARGE,
                    MALFORMED_BODY,
                    BODY_TIMEOUT,
                    OVERLOADED,
                    CRASHES_SERVERS,
                    NO_CAPACITY,
                    NOT_RUN,
                    INTERNAL_ERROR,
                    BROKEN,
                    TIMED_OUT -> false;
        };
    }
}
