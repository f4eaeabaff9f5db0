package org.baobabspindle.core.group;

/** The state of a group as its keeper sees it. */
public enum Lifecycle {
    /** Not every member has taken the order yet. */
    FORMING(false),
    /** Every member has taken the order; some still load. */
    LOADING(false),
    /** Every member has confirmed recently that it is ready. */
    SERVING(true),
    /** A member is silent or contradicts the log. */
    SUSPECT(false),
    /** The group finishes what it has and takes nothing new. */
    DRAINING(false),
    /** The log no longer holds the group. */
    DISSOLVED(false);

    private final boolean acceptsRequests;

    Lifecycle(boolean takesWork) {
        this.acceptsRequests = takesWork;
    }

    /**
     * Tells whether new requests may be sent to the group.
     *
     * @return whether the group takes new work
     */
    public boolean acceptsRequests() {
        return acceptsRequests;
    }
}
