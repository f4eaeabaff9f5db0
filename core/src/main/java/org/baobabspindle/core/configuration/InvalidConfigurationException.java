package org.baobabspindle.core.configuration;

/** Thrown when a patch would result in an invalid configuration. */
public final class InvalidConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidConfigurationException(String message, Throwable cause) {
        super(message, cause);
    }
}
