package org.baobabspindle.core.group;

/** What a member says of the model it was ordered to hold. */
public enum Readiness {
    /** The member holds nothing for a group. */
    IDLE,
    /** The member is loading its part of the model. */
    LOADING,
    /** The member holds its part of the model. */
    READY
}
