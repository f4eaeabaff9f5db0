package org.baobabspindle.gateway;

/** What follows the end of a call, to be done without the lock of its exchange. */
enum NextStep {
    /** The request waits for something else, or has ended. */
    NONE,
    /** The request is queued for a target or relayed. */
    FIND_DESTINATION
}
