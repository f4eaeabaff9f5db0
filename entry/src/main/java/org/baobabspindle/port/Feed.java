package org.baobabspindle.port;

/** The keyed records of the platform's store that an entry follows. */
public enum Feed {
    /** The configuration that the operator writes. */
    CONFIGURATION,
    /** What backend servers say of themselves, by their ids. */
    BACKEND_SERVERS,
    /** What entries say of themselves, by the names of their instances. */
    ENTRIES
}
