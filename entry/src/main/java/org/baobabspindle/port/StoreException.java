package org.baobabspindle.port;

/** A call to the platform's store that did not succeed. */
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
     * @param cause what made it fail
     */
    public StoreException(String message, Throwable cause) {
        super(message, cause);
    }
}
