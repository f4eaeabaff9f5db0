package org.baobabspindle.core.group;

/** How far an engine is in loading its part of a model, as it reports. */
public enum Readiness {
    /** The engine holds no part of a model. */
    IDLE,
    /** The engine is loading its part of the model. */
    LOADING,
    /** The engine holds its part of the model. */
    READY
}
