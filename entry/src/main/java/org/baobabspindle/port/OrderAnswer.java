package org.baobabspindle.port;

/** What is known of an order after it was sent. */
public enum OrderAnswer {
    /** It has begun. */
    STARTED,
    /** Its effect holds already. */
    HOLDS,
    /** The engine's state does not allow it, or the engine has begun other orders meanwhile. */
    CONFLICT,
    /** The engine knows a higher epoch. */
    STALE,
    /** Another instance answers at this address. */
    OTHER_INSTANCE,
    /** The engine refused it for another reason. */
    REFUSED,
    /** No connection could be made; the order was not sent. */
    UNREACHABLE,
    /** No answer came; the order may be carried out later. */
    UNKNOWN;

    /**
     * Tells whether the effect of the order holds or is under way.
     *
     * @return whether it was accepted
     */
    public boolean isAccepted() {
        return this == STARTED || this == HOLDS;
    }
}
