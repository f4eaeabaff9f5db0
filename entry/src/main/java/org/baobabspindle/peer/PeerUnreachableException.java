package org.baobabspindle.peer;

/** Thrown if a request was certainly not sent, because no connection could be opened. */
public final class PeerUnreachableException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    PeerUnreachableException(String message, Throwable cause) {
        super(message, cause);
    }
}
