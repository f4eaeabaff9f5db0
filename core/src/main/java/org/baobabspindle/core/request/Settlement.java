package org.baobabspindle.core.request;

/** What is known about an attempt after it has ended. */
public enum Settlement {
    /** The backend server did not run the request. */
    NOT_RUN,
    /** The backend server ran the request and the complete response was received. */
    COMPLETED,
    /** The backend server may have run the request. */
    UNKNOWN
}
