package org.baobabspindle.core.request;

/** The answer that a resent request gets without running again. */
public final class StoredAnswer {
    private final int status;
    private final String contentType;
    private final byte[] body;

    private StoredAnswer(int status, String contentType, byte[] body) {
        this.status = status;
        this.contentType = contentType;
        this.body = body;
    }

    /**
     * Keeps an answer.
     *
     * @param status the HTTP status
     * @param contentType the media type of the body
     * @param body the whole body; a copy is kept
     * @return the answer
     */
    public static StoredAnswer of(int status, String contentType, byte[] body) {
        return new StoredAnswer(status, contentType, body.clone());
    }

    /**
     * Returns the HTTP status.
     *
     * @return the status code
     */
    public int status() {
        return status;
    }

    /**
     * Returns the media type of the body.
     *
     * @return the media type
     */
    public String contentType() {
        return contentType;
    }

    /**
     * Returns the body.
     *
     * @return a copy of the whole body
     */
    public byte[] body() {
        return body.clone();
    }

    /**
     * Returns the length of the body.
     *
     * @return the number of bytes
     */
    public int length() {
        return body.length;
    }
}
