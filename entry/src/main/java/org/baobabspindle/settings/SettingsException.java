package org.baobabspindle.settings;

/** Tells why a settings file cannot be used. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message the field and what is wrong with it
     * @param cause what noticed it
     */
    public SettingsException(String message, Throwable cause) {
        super(message, cause);
    }
}
