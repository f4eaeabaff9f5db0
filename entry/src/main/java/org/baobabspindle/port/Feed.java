package org.baobabspindle.port;

/**
 * A sequence of keyed records in the platform's store that an entry reads; later records of a key replace earlier
 * ones.
 */
public enum Feed {
    /** The configuration, written by the operator. */
    CONFIGURATION,
    /** The records that backend servers publish about themselves, keyed by their ids. */
    BACKEND_SERVERS,
    /** The records that entries publish about themselves, keyed by the names of their instances. */
    ENTRIES
}
