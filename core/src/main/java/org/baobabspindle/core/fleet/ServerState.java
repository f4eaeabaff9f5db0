package org.baobabspindle.core.fleet;

/** Whether a backend server takes new work. */
public enum ServerState {
    /** It takes new work. */
    READY,
    /** It finishes what it has and leaves. */
    DRAINING
}
