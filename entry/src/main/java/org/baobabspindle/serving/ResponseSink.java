package org.baobabspindle.serving;

import java.io.IOException;

/** Receives the response to a request as it is produced. */
public interface ResponseSink {
    /**
     * Starts the response. It is called once, before {@link #write}.
     *
     * @param status the HTTP status
     * @param contentType the media type of the body
     * @throws IOException if the caller disconnected
     */
    void begin(int status, String contentType) throws IOException;

    /**
     * Writes the next part of the body.
     *
     * @param bytes the bytes
     * @throws IOException if the caller disconnected
     */
    void write(byte[] bytes) throws IOException;

    /**
     * Returns whether the response has started, after which its status can no longer change.
     *
     * @return whether {@link #begin} was called
     */
    boolean isCommitted();
}
