package org.baobabspindle.settings;

/** Thrown if a settings file is missing, unreadable or invalid. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message the field and the reason why it is invalid
     * @param cause the cause
     */
    public SettingsException(String message, Throwable cause) {
        super(message, cause);
    }
}
