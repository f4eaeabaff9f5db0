package org.baobabspindle.core.fleet;

/** The kind of requests of a route, which determines whether they may be repeated. */
public enum RouteKind {
    /** Requests are idempotent. */
    SAFE(true, false),
    /** Requests may run at most once. */
    UNSAFE(false, false),
    /** Responses are event streams; requests may be repeated only if streams can be resumed. */
    STREAM(false, true);

    private final boolean idempotent;
    private final boolean streaming;

    RouteKind(boolean idempotent, boolean streaming) {
        this.idempotent = idempotent;
        this.streaming = streaming;
    }

    /**
     * Returns whether a request may be sent again even if an earlier attempt may have run.
     *
     * @param resumable whether streams of the route can be resumed
     * @return whether requests may be repeated
     */
    public boolean repeatable(boolean resumable) {
        return idempotent || (streaming && resumable);
    }

    /**
     * Returns whether responses are event streams.
     *
     * @return whether they are streamed
     */
    public boolean streaming() {
        return streaming;
    }
}
