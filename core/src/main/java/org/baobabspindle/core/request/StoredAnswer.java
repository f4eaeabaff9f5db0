package org.baobabspindle.core.request;

/** The answer to a completed request, which is returned for repeated requests instead of running them again. */
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
     * Creates a stored answer.
     *
     * @param status the HTTP status
     * @param contentType the media type of the body
     * @param body the complete body; copied
     * @return the stored answer
     */
    public static StoredAnswer of(int status, String contentType, byte[] body) {
        return new StoredAnswer(status, contentType, body.clone());
    }

    /**
     * Returns the HTTP status code.
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
     * @return a copy of the complete body
     */
    public byte[] body() {
        return body.clone();
    }

    /**
     * Returns the length of the body.
     *
     * @return the length in bytes
     */
    public int length() {
        return body.length;
    }
}
