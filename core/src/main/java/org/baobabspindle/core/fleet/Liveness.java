package org.baobabspindle.core.fleet;

/** What a question to a backend server shows of the life in which it was listed. */
public enum Liveness {
    /** It runs. */
    RUNNING,
    /** It has ended: nothing listens at its address, or another backend server does. */
    ENDED,
    /** No answer came; it may have ended or be out of reach. */
    SILENT
}
