package org.baobabspindle.caller;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Semaphore;
import org.baobabspindle.core.request.StoredAnswer;
import org.baobabspindle.http.Framing;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;

/** An HTTP request of a caller or an operator, and its response. */
public final class HttpExchange {
    private static final String BEARER = "Bearer ";

    /** The maximum length of a response of unknown length to a caller that cannot read chunks, in bytes. */
    private static final int MAX_COLLECTED_BYTES = 4 * 1024 * 1024;

    private final Request request;
    private final Response response;
    private final Semaphore collectableBytes;
    private int collectedBytes;
    private boolean bodyRead;
    private boolean responseStarted;

    /**
     * Creates an exchange.
     *
     * @param request the request
     * @param response its response
     * @param collectableBytes the bytes that all exchanges may still collect for callers that cannot read chunks
     */
    HttpExchange(Request request, Response response, Semaphore collectableBytes) {
        this.request = request;
        this.response = response;
        this.collectableBytes = collectableBytes;
    }

    /** Thrown if a request body exceeds its size limit. */
    public static final class BodyTooLargeException extends IOException {
        private static final long serialVersionUID = 1L;

        BodyTooLargeException(int maxBytes) {
            super("the body is larger than " + maxBytes + " bytes");
        }
    }

    /**
     * Returns the HTTP method.
     *
     * @return the method
     */
    public String method() {
        return request.getMethod();
    }

    /**
     * Returns the path without the query.
     *
     * @return the path
     */
    public String path() {
        return Request.getPathInContext(request);
    }

    /**
     * Returns the path, followed by the query if there is one.
     *
     * @return the path and query
     */
    public String pathAndQuery() {
        String query = request.getHttpURI().getQuery();
        return query == null ? path() : path() + '?' + query;
    }

    /**
     * Returns the first value of a request header.
     *
     * @param name the name of the header
     * @return the value, or empty if the header is missing
     */
    public Optional<String> header(String name) {
        return Optional.ofNullable(request.getHeaders().get(name));
    }

    /**
     * Returns the bearer token of the {@code Authorization} header.
     *
     * @return the token, or empty if the request has none
     */
    public Optional<String> bearerToken() {
        return header("Authorization").filter(h -> h.startsWith(BEARER)).map(h -> h.substring(BEARER.length()));
    }

    /**
     * Reads the request body as UTF-8.
     *
     * @param maxBytes the maximum size in bytes
     * @return the body
     * @throws BodyTooLargeException if the body is larger
     * @throws IOException if the caller disconnected
     */
    public String readBody(int maxBytes) throws IOException {
        try (InputStream in = Content.Source.asInputStream(request)) {
            byte[] bytes = in.readNBytes(maxBytes + 1);
            if (bytes.length > maxBytes) {
                throw new BodyTooLargeException(maxBytes);
            }
            bodyRead = true;
            return new String(bytes, StandardCharsets.UTF_8);
        }
    }

    /**
     * Sets a response header.
     *
     * @param name the name of the header
     * @param value its value
     */
    public void setResponseHeader(String name, String value) {
        response.getHeaders().put(name, value);
    }

    /**
     * Sends a JSON document as the response.
     *
     * @param status the HTTP status
     * @param document the document
     * @throws IOException if the caller disconnected
     */
    public void respond(int status, JsonNode document) throws IOException {
        respond(StoredAnswer.of(status, "application/json", document.toString().getBytes(StandardCharsets.UTF_8)));
    }

    /**
     * Sends a problem document as the response.
     *
     * @param problem the problem
     * @throws IOException if the caller disconnected
     */
    public void respond(Problem problem) throws IOException {
        if (problem.retryAfterSeconds() > 0) {
            setResponseHeader("Retry-After", Long.toString(problem.retryAfterSeconds()));
        }
        byte[] body = problem.toJson().toString().getBytes(StandardCharsets.UTF_8);
        respond(StoredAnswer.of(problem.status(), Problem.MEDIA_TYPE, body));
    }

    /**
     * Sends a complete response.
     *
     * @param answer the response
     * @throws IOException if the caller disconnected
     */
    public void respond(StoredAnswer answer) throws IOException {
        byte[] body = answer.body();
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
        try (OutputStream out = startResponse(answer.status(), answer.contentType())) {
            out.write(body);
        }
    }

    /** Returns whether the response has begun, so that no other one can take its place. */
    boolean isResponseStarted() {
        return responseStarted;
    }

    /** Sends a problem in place of the response that was started, and returns false if a part of that was sent. */
    boolean replaceResponse(Problem problem) throws IOException {
        if (response.isCommitted()) {
            return false;
        }
        response.reset();
        respond(problem);
        return true;
    }

    /** Releases the memory of the response, which must have been sent or given up. */
    void release() {
        collectableBytes.release(collectedBytes);
        collectedBytes = 0;
    }

    private boolean hasBody() {
        return request.getHeaders().contains(HttpHeader.TRANSFER_ENCODING)
                || request.getHeaders().getLongField(HttpHeader.CONTENT_LENGTH) > 0;
    }

    /**
     * Starts a response, which is of unknown length unless its header was set. Closing the stream completes the response;
     * without that, it does not look complete to the caller, whatever becomes of the connection.
     *
     * @param status the HTTP status
     * @param contentType the media type
     * @return the stream for the response body
     */
    public OutputStream startResponse(int status, String contentType) {
        responseStarted = true;
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
        if (!bodyRead && hasBody()) {
            // Jetty closes a connection whose request body was not read, so the caller must not reuse it.
            response.getHeaders().put(HttpHeader.CONNECTION, "close");
        }
        OutputStream out = Content.Sink.asOutputStream(response);
        if (response.getHeaders().contains(HttpHeader.CONTENT_LENGTH)) {
            return out;
        }
        HttpVersion version = request.getConnectionMetaData().getHttpVersion();
        if (Framing.ofUnknownLength(version) == Framing.LENGTH) {
            return new CollectedBody(out);
        }
        response.getHeaders().put(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED);
        return out;
    }

    /** A body that is sent with its length once it is whole. */
    private final class CollectedBody extends OutputStream {
        private final OutputStream out;
        private final List<byte[]> parts = new ArrayList<>();
        private boolean closed;

        CollectedBody(OutputStream out) {
            this.out = out;
        }

        @Override
        public void write(int b) throws IOException {
            write(new byte[] {(byte) b}, 0, 1);
        }

        @Override
        public void write(byte[] b, int offset, int length) throws IOException {
            if (collectedBytes + length > MAX_COLLECTED_BYTES) {
                throw new IOException("the response is longer than " + MAX_COLLECTED_BYTES + " bytes");
            }
            if (!collectableBytes.tryAcquire(length)) {
                throw new IOException("no memory is left to collect a response");
            }
            collectedBytes += length;
            parts.add(Arrays.copyOfRange(b, offset, offset + length));
        }

        @Override
        public void close() throws IOException {
            if (closed) {
                return;
            }
            closed = true;
            response.getHeaders().put(HttpHeader.CONTENT_LENGTH, collectedBytes);
            for (byte[] part : parts) {
                out.write(part);
            }
            out.close();
        }
    }
}
