package org.baobabspindle.port;

/** The known result of an order that was sent to an engine. */
public enum OrderAnswer {
    /** The engine has started to execute the order. */
    STARTED,
    /** The engine is already in the state that the order requests. */
    HOLDS,
    /** The state of the engine does not allow the order, or the engine has started other orders in the meantime. */
    CONFLICT,
    /** The order is stale: the engine has seen a higher epoch. */
    STALE,
    /** Another instance runs at this address. */
    OTHER_INSTANCE,
    /** The engine refused the order for another reason. */
    REFUSED,
    /** No connection could be established; the order was not sent. */
    UNREACHABLE,
    /** No answer was received; the order may still be executed later. */
    UNKNOWN;

    /**
     * Returns whether the effect of the order is in place or in progress.
     *
     * @return whether the engine accepted the order
     */
    public boolean isAccepted() {
        return this == STARTED || this == HOLDS;
    }
}
