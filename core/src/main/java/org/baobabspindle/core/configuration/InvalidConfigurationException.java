package org.baobabspindle.core.configuration;

/** Tells that a patch would leave a configuration that breaks a rule. */
public final class InvalidConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidConfigurationException(String message, Throwable cause) {
        super(message, cause);
    }
}
