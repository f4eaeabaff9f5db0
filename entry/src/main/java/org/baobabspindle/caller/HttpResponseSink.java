package org.baobabspindle.caller;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import org.baobabspindle.serving.ResponseSink;

/** Streams a response to a caller. A response that fails midway ends without its explicit end marker. */
final class HttpResponseSink implements ResponseSink {
    private final HttpExchange exchange;
    private OutputStream out = OutputStream.nullOutputStream();
    private boolean committed;

    HttpResponseSink(HttpExchange exchange) {
        this.exchange = exchange;
    }

    @Override
    public void begin(int status, String contentType) {
        committed = true;
        out = exchange.startResponse(status, contentType);
    }

    @Override
    public void write(byte[] bytes) throws IOException {
        out.write(bytes);
        out.flush();
    }

    @Override
    public boolean isCommitted() {
        return committed;
    }

    /** Completes the response. */
    void complete() throws IOException {
        out.close();
    }

    /** Sends the problem as an error event within the response and closes it. */
    void abort(Problem problem) throws IOException {
        String event = "event: error\ndata: " + problem.toJson() + "\n\n";
        write(event.getBytes(StandardCharsets.UTF_8));
        out.close();
    }
}
