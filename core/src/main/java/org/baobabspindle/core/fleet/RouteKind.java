package org.baobabspindle.core.fleet;

/** What may be repeated on a route. */
public enum RouteKind {
    /** Requests are idempotent. */
    SAFE(true, false),
    /** Requests may run at most once. */
    UNSAFE(false, false),
    /** Responses are event streams; they may be repeated only where they can be resumed. */
    STREAM(false, true);

    private final boolean idempotent;
    private final boolean streaming;

    RouteKind(boolean idempotent, boolean streaming) {
        this.idempotent = idempotent;
        this.streaming = streaming;
    }

    /**
     * Tells whether a request may run again after it may have run.
     *
     * @param resumable whether streams of the route can be resumed
     * @return whether it may be repeated
     */
    public boolean repeatable(boolean resumable) {
        return idempotent || (streaming && resumable);
    }

    /**
     * Tells whether responses are event streams.
     *
     * @return whether they are
     */
    public boolean streaming() {
        return streaming;
    }
}
