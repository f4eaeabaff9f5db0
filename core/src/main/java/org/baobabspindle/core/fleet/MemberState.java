package org.baobabspindle.core.fleet;

/** The state of a group as one of its members reports it. */
public enum MemberState {
    /** The member is loading weights or connecting to the other members. */
    JOINING(false),
    /** The member is ready. A head in this state may be opened. */
    READY(false),
    /** The head accepts requests. */
    OPEN(true),
    /** The head completes its running requests and accepts no new ones. */
    CLOSING(true),
    /** The head has stopped serving because a member was lost. */
    BROKEN(false);

    private final boolean mayHoldRequests;

    MemberState(boolean holdsWork) {
        this.mayHoldRequests = holdsWork;
    }

    /**
     * Returns whether a head in this state may have running requests, in which case the members must stay in the group.
     *
     * @return whether there may be running requests
     */
    public boolean mayHoldRequests() {
        return mayHoldRequests;
    }
}
