package org.baobabspindle.core.group;

/** The state of a group, as a {@link GroupAssessment} reports it. */
public enum Lifecycle {
    /** Not every member has accepted its order yet. */
    FORMING(false),
    /** Every member has accepted its order; some are still loading. */
    LOADING(false),
    /** Every member has confirmed recently that it is ready. */
    SERVING(true),
    /** A member is unresponsive or its report contradicts the log. */
    SUSPECT(false),
    /** The group finishes the requests it has and accepts no new ones. */
    DRAINING(false),
    /** The log no longer records the group. */
    DISSOLVED(false);

    private final boolean acceptsRequests;

    Lifecycle(boolean acceptsRequests) {
        this.acceptsRequests = acceptsRequests;
    }

    /**
     * Returns whether new requests may be sent to the group.
     *
     * @return whether the group accepts requests
     */
    public boolean acceptsRequests() {
        return acceptsRequests;
    }
}
