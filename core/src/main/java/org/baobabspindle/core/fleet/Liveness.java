package org.baobabspindle.core.fleet;

/** The result of probing a backend server for the lifetime in which it is listed. */
public enum Liveness {
    /** The listed lifetime is still running. */
    RUNNING,
    /** The listed lifetime is over: nothing listens at its address, or another backend server does. */
    ENDED,
    /** The probe was not answered; the server may have terminated or be unreachable. */
    SILENT
}
