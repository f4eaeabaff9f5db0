package org.baobabspindle.core.fleet;

/** Whether a backend server accepts new requests. */
public enum ServerState {
    /** The server accepts new requests. */
    READY,
    /** The server completes its running requests and then leaves the fleet. */
    DRAINING
}
