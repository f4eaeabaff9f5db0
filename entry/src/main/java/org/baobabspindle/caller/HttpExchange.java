package org.baobabspindle.caller;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.baobabspindle.core.request.StoredAnswer;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;

/** One HTTP request of a caller or an operator, and its answer. */
public final class HttpExchange {
    private static final String BEARER = "Bearer ";

    private final Request request;
    private final Response response;
    private boolean bodyRead;

    /**
     * Creates an exchange.
     *
     * @param request the request
     * @param response its response
     */
    public HttpExchange(Request request, Response response) {
        this.request = request;
        this.response = response;
    }

    /** Tells that a body is larger than allowed. */
    public static final class BodyTooLargeException extends IOException {
        private static final long serialVersionUID = 1L;

        BodyTooLargeException(int maxBytes) {
            super("the body is larger than " + maxBytes + " bytes");
        }
    }

    /**
     * Returns the method.
     *
     * @return the HTTP method
     */
    public String method() {
        return request.getMethod();
    }

    /**
     * Returns the path.
     *
     * @return the path without the query
     */
    public String path() {
        return Request.getPathInContext(request);
    }

    /**
     * Returns the path with the query.
     *
     * @return the path and, if there is one, the query
     */
    public String pathAndQuery() {
        String query = request.getHttpURI().getQuery();
        return query == null ? path() : path() + '?' + query;
    }

    /**
     * Returns a header.
     *
     * @param name the name of the header
     * @return its first value
     */
    public Optional<String> header(String name) {
        return Optional.ofNullable(request.getHeaders().get(name));
    }

    /**
     * Returns the bearer token.
     *
     * @return the token of the {@code Authorization} header
     */
    public Optional<String> bearerToken() {
        return header("Authorization").filter(h -> h.startsWith(BEARER)).map(h -> h.substring(BEARER.length()));
    }

    /**
     * Reads the body.
     *
     * @param maxBytes the most bytes allowed
     * @return the body
     * @throws IOException if the body is larger or the caller left
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
     * Sets a header of the answer.
     *
     * @param name the name of the header
     * @param value its value
     */
    public void setResponseHeader(String name, String value) {
        response.getHeaders().put(name, value);
    }

    /**
     * Answers with a JSON document.
     *
     * @param status the HTTP status
     * @param document the document
     * @throws IOException if the caller left
     */
    public void respond(int status, JsonNode document) throws IOException {
        respond(StoredAnswer.of(status, "application/json", document.toString().getBytes(StandardCharsets.UTF_8)));
    }

    /**
     * Answers with a problem document.
     *
     * @param problem the problem
     * @throws IOException if the caller left
     */
    public void respond(Problem problem) throws IOException {
        if (problem.retryAfterSeconds() > 0) {
            setResponseHeader("Retry-After", Long.toString(problem.retryAfterSeconds()));
        }
        byte[] body = problem.toJson().toString().getBytes(StandardCharsets.UTF_8);
        respond(StoredAnswer.of(problem.status(), Problem.MEDIA_TYPE, body));
    }

    /**
     * Answers with a whole body.
     *
     * @param answer the answer
     * @throws IOException if the caller left
     */
    public void respond(StoredAnswer answer) throws IOException {
        byte[] body = answer.body();
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
        try (OutputStream out = startResponse(answer.status(), answer.contentType())) {
            out.write(body);
        }
    }

    private boolean hasBody() {
        return request.getHeaders().contains(HttpHeader.TRANSFER_ENCODING)
                || request.getHeaders().getLongField(HttpHeader.CONTENT_LENGTH) > 0;
    }

    /**
     * Starts an answer of unknown length. Closing the stream ends the answer.
     *
     * @param status the HTTP status
     * @param contentType the media type
     * @return where the body is written
     */
    public OutputStream startResponse(int status, String contentType) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
        if (!bodyRead && hasBody()) {
            // The server ends a connection whose request was not read; the caller must not send another one on it.
            response.getHeaders().put(HttpHeader.CONNECTION, "close");
        }
        return Content.Sink.asOutputStream(response);
    }
}
