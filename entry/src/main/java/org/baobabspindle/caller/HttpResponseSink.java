package org.baobabspindle.caller;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import org.baobabspindle.core.request.Outcome;
import org.baobabspindle.serving.ResponseSink;

/** Streams a response to a caller. A response that fails midway does not look complete. */
final class HttpResponseSink implements ResponseSink {
    private static final String EVENT_STREAM = "text/event-stream";

    private final HttpExchange exchange;
    private OutputStream out = OutputStream.nullOutputStream();
    private boolean committed;
    private boolean eventStream;
    private boolean incomplete;

    HttpResponseSink(HttpExchange exchange) {
        this.exchange = exchange;
    }

    @Override
    public void begin(int status, String contentType) {
        committed = true;
        eventStream = contentType.startsWith(EVENT_STREAM);
        out = exchange.startResponse(status, contentType);
    }

    @Override
    public void write(byte[] bytes) throws IOException {
        try {
            out.write(bytes);
            out.flush();
        } catch (IOException e) {
            incomplete = true;
            throw e;
        }
    }

    @Override
    public boolean isCommitted() {
        return committed;
    }

    /** Completes the response, unless a part of it could not be written. */
    void complete() throws IOException {
        if (incomplete) {
            abort(Problem.of(new Outcome.Unknown("the request ran and its answer could not be sent")));
            return;
        }
        out.close();
    }

    /**
     * Ends the response with a problem: in place of the response if nothing of it was sent, or as the last event of a
     * stream of events.
     *
     * @throws IOException if the response cannot state the problem and has to be cut
     */
    void abort(Problem problem) throws IOException {
        if (exchange.replaceResponse(problem)) {
            return;
        }
        if (incomplete || !eventStream) {
            throw new IOException("the response is incomplete: " + problem.detail());
        }
        String event = "event: error\ndata: " + problem.toJson() + "\n\n";
        write(event.getBytes(StandardCharsets.UTF_8));
        out.close();
    }
}
