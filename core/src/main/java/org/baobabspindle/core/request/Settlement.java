package org.baobabspindle.core.request;

/** What is known of an attempt once it is over. */
public enum Settlement {
    /** The backend server did not run the request. */
    NOT_RUN,
    /** The backend server ran the request and the whole answer arrived. */
    COMPLETED,
    /** The backend server may have run the request. */
    UNKNOWN
}
