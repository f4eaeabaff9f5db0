package org.baobabspindle.http;

import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;

/** How the receiver of an HTTP/1 message recognizes the end of its body. */
public enum Framing {
    /** There is no body, whatever the headers say. */
    NONE,
    /** The body has a declared length. */
    LENGTH,
    /** The body consists of chunks, the last of which is empty. */
    CHUNKS,
    /** The body ends with its connection: one that was cut may look whole. */
    CONNECTION;

    /**
     * Returns the framing of a response whose length is not known when it begins. A receiver that cannot read chunks gets
     * it once it is whole, since it could not tell a response that ends with its connection from one that was cut: a
     * process that is killed cannot reset its connections.
     *
     * @param receiver the HTTP version of the receiver
     * @return the framing, never {@link #CONNECTION}
     */
    public static Framing ofUnknownLength(HttpVersion receiver) {
        return receiver.getVersion() < HttpVersion.HTTP_1_1.getVersion() ? LENGTH : CHUNKS;
    }

    /**
     * Returns the framing of the response to a request other than HEAD.
     *
     * @param status the status of the response
     * @param headers the headers of the response
     * @return its framing
     */
    public static Framing of(int status, HttpFields headers) {
        if (status == HttpStatus.NO_CONTENT_204 || status == HttpStatus.NOT_MODIFIED_304) {
            return NONE;
        }
        if (headers.contains(HttpHeader.TRANSFER_ENCODING)) {
            return CHUNKS;
        }
        return headers.contains(HttpHeader.CONTENT_LENGTH) ? LENGTH : CONNECTION;
    }
}
