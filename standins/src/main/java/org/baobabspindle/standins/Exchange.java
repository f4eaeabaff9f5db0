package org.baobabspindle.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.Optional;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Fields;

/** A request to a stand-in and its response. */
final class Exchange {
    static final ObjectMapper JSON = new ObjectMapper();

    private final Request request;
    private final Response response;
    private final Fields query;
    private int status = 200;
    private byte[] responseBody = new byte[0];
    private boolean streaming;

    Exchange(Request request, Response response) {
        this.request = request;
        this.response = response;
        this.query = Request.extractQueryParameters(request);
    }

    String path() {
        return Request.getPathInContext(request);
    }

    String method() {
        return request.getMethod();
    }

    String query(String name, String defaultValue) {
        String value = query.getValue(name);
        return value == null ? defaultValue : value;
    }

    long queryLong(String name, long defaultValue) {
        return Long.parseLong(query(name, Long.toString(defaultValue)));
    }

    Optional<String> header(String name) {
        return Optional.ofNullable(request.getHeaders().get(name));
    }

    JsonNode readBody() throws IOException {
        try (InputStream in = Content.Source.asInputStream(request)) {
            return JSON.readTree(in);
        }
    }

    /** Sets the status and the JSON body of the response, which {@link #sendResponse} writes. */
    void respond(int responseStatus, Object body) throws IOException {
        status = responseStatus;
        responseBody = JSON.writeValueAsBytes(body);
    }

    void setResponseHeader(String name, String value) {
        response.getHeaders().put(name, value);
    }

    /** Starts an event stream as the response. The caller writes the events and closes the stream. */
    OutputStream startEventStream() {
        streaming = true;
        response.setStatus(200);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
        return Content.Sink.asOutputStream(response);
    }

    /** Closes the connection without a response. */
    void closeConnection() {
        request.getConnectionMetaData().getConnection().getEndPoint().close();
    }

    /** Writes the response that was set, unless an event stream was started. */
    void sendResponse() throws IOException {
        if (streaming) {
            return;
        }
        response.setStatus(status);
        if (status == HttpStatus.NOT_MODIFIED_304) {
            return;
        }
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, responseBody.length);
        try (OutputStream out = Content.Sink.asOutputStream(response)) {
            out.write(responseBody);
        }
    }
}
