package org.baobabspindle.core.fleet;

/** The state of a group as one of its members reports it. */
public enum MemberState {
    /** The member loads weights or connects. */
    JOINING(false),
    /** The member is ready; a head may be opened. */
    READY(false),
    /** The head serves. */
    OPEN(true),
    /** The head finishes what it has. */
    CLOSING(true),
    /** The head has given up on a lost member. */
    BROKEN(false);

    private final boolean mayHoldRequests;

    MemberState(boolean holdsWork) {
        this.mayHoldRequests = holdsWork;
    }

    /**
     * Tells whether a head in this state may have requests, so that its members must stay.
     *
     * @return whether it may
     */
    public boolean mayHoldRequests() {
        return mayHoldRequests;
    }
}
