package org.baobabspindle.core.request;

/** The kinds of reasons for which a request is refused. */
public enum RefusalKind {
    /** The request is malformed. */
    MALFORMED(400),
    /** The caller cannot be authenticated. */
    UNAUTHENTICATED(401),
    /** The client account is not entitled to the requested model or service. */
    NOT_ENTITLED(403),
    /** Nothing is served at the path. */
    NOT_FOUND(404),
    /** The idempotency key was used for a request with different content. */
    KEY_REUSED(422),
    /** The request exceeds the size limit. */
    TOO_LARGE(413),
    /** The client account exceeds its rate limit. */
    OVER_LIMIT(429),
    /** The request is quarantined because it has crashed backend servers. */
    QUARANTINED(422);

    private final int status;

    RefusalKind(int status) {
        this.status = status;
    }

    /**
     * Returns the HTTP status code of the response to the caller.
     *
     * @return the status code
     */
    public int status() {
        return status;
    }
}
