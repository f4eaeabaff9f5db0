package org.baobabspindle.core.request;

/** The grounds on which a request is declined. */
public enum RefusalKind {
    /** The request is malformed. */
    MALFORMED(400),
    /** The caller is not known. */
    UNAUTHENTICATED(401),
    /** The client account may not use what the request names. */
    NOT_ENTITLED(403),
    /** The path names nothing. */
    NOT_FOUND(404),
    /** The key was used for another request. */
    KEY_REUSED(422),
    /** The request is larger than allowed. */
    TOO_LARGE(413),
    /** The client account is over its limit. */
    OVER_LIMIT(429),
    /** The request has crashed backend servers before. */
    QUARANTINED(422);

    private final int status;

    RefusalKind(int status) {
        this.status = status;
    }

    /**
     * Returns the HTTP status that tells the caller.
     *
     * @return the status code
     */
    public int status() {
        return status;
    }
}
