package org.baobabspindle.serving;

import java.io.IOException;

/** Takes the answer to a request as it comes. */
public interface ResponseSink {
    /**
     * Takes the start of the answer. It is called once, before any other method.
     *
     * @param status the HTTP status
     * @param contentType the media type of the body
     * @throws IOException if the caller left
     */
    void begin(int status, String contentType) throws IOException;

    /**
     * Takes the next part of the body.
     *
     * @param bytes the bytes
     * @throws IOException if the caller left
     */
    void write(byte[] bytes) throws IOException;

    /**
     * Tells whether the answer has started, after which its status can no longer change.
     *
     * @return whether {@link #begin} was called
     */
    boolean isCommitted();
}
