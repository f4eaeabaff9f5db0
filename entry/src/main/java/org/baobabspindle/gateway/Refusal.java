package org.baobabspindle.gateway;

/** Why this entry answers a request itself. */
enum Refusal {
    /** No configuration is known yet. */
    NOT_CONFIGURED(503),
    /** The configuration cannot be proven recent enough to honour API keys. */
    KEYS_UNPROVEN(503),
    /** The key or route is unknown, and the configuration cannot be proven recent enough to say so. */
    CONFIGURATION_STALE(503),
    /** No route matches. */
    NO_ROUTE(404),
    /** The API key is missing or unknown. */
    UNKNOWN_KEY(401),
    /** The body is longer than allowed. */
    TOO_LARGE(413),
    /** Backend servers have ended each time that they ran the request. */
    CRASHES_SERVERS(503),
    /** No backend server can take the request in time. */
    NO_CAPACITY(503),
    /** The backend servers that were asked did not run the request. */
    NOT_RUN(503),
    /** The entry stops. */
    STOPPING(503),
    /** A request that may have run did not get its answer. */
    BROKEN(502),
    /** The time of a request that may have run is over. */
    TIMED_OUT(504);

    private final int status;

    Refusal(int status) {
        this.status = status;
    }

    int status() {
        return status;
    }

    /** Returns whether the caller may come back, because the request has not run. */
    boolean retryable() {
        return status == 503;
    }
}
