package org.baobabspindle.caller;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import org.baobabspindle.serving.ResponseSink;

/** Writes an answer to a caller as it comes. An answer that fails midway is ended without its explicit end. */
final class HttpResponseSink implements ResponseSink {
    private final HttpExchange exchange;
    private OutputStream out = OutputStream.nullOutputStream();
    private boolean begun;

    HttpResponseSink(HttpExchange exchange) {
        this.exchange = exchange;
    }

    @Override
    public void begin(int status, String contentType) {
        begun = true;
        out = exchange.startResponse(status, contentType);
    }

    @Override
    public void write(byte[] bytes) throws IOException {
        out.write(bytes);
        out.flush();
    }

    @Override
    public boolean isCommitted() {
        return begun;
    }

    /** Ends a whole answer. */
    void end() throws IOException {
        out.close();
    }

    /** Tells the caller within the answer that it will not become whole. */
    void fail(Problem problem) throws IOException {
        String event = "event: error\ndata: " + problem.toJson() + "\n\n";
        write(event.getBytes(StandardCharsets.UTF_8));
        out.close();
    }
}
