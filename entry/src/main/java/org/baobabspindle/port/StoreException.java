package org.baobabspindle.port;

/** Thrown if a call to the platform's store fails. */
public final class StoreException extends RuntimeException {
    private static final long serialVersionUID = 1;

    /**
     * Creates an exception.
     *
     * @param message the call and why it failed
     */
    public StoreException(String message) {
        super(message);
    }

    /**
     * Creates an exception.
     *
     * @param message the call and why it failed
     * @param cause the cause of the failure
     */
    public StoreException(String message, Throwable cause) {
        super(message, cause);
    }
}
