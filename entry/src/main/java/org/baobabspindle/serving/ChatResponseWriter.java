package org.baobabspindle.serving;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.baobabspindle.core.id.ModelVersion;
import org.baobabspindle.http.Json;
import org.baobabspindle.runner.CompletionClient;

/** Writes the tokens of an answer in the form that callers expect: one document, or server-sent events. */
final class ChatResponseWriter implements CompletionClient.TokenListener {
    private static final int OK = 200;

    private final String id;
    private final ModelVersion model;
    private final boolean stream;
    private final ResponseSink sink;
    private final StringBuilder text = new StringBuilder();
    private int taken;

    ChatResponseWriter(String id, ModelVersion model, boolean stream, ResponseSink sink) {
        this.id = id;
        this.model = model;
        this.stream = stream;
        this.sink = sink;
    }

    /** Returns the number of tokens taken so far. */
    int taken() {
        return taken;
    }

    @Override
    public void tokenReceived(int index, String token) throws CompletionClient.CallerDisconnectedException {
        if (index != taken) {
            throw new IllegalStateException("token " + index + " was given where " + taken + " is next");
        }
        taken++;
        if (!stream) {
            text.append(token);
            return;
        }
        ObjectNode chunk = document("chat.completion.chunk");
        ObjectNode choice = chunk.putArray("choices").addObject().put("index", 0);
        choice.putObject("delta").put("content", token);
        choice.putNull("finish_reason");
        try {
            event(chunk.toString());
        } catch (IOException e) {
            throw new CompletionClient.CallerDisconnectedException(e);
        }
    }

    /** Writes the end of a whole answer. */
    void end() throws IOException {
        if (stream) {
            ObjectNode last = document("chat.completion.chunk");
            ObjectNode choice = last.putArray("choices").addObject().put("index", 0);
            choice.putObject("delta");
            choice.put("finish_reason", "stop");
            event(last.toString());
            event("[DONE]");
            return;
        }
        ObjectNode whole = document("chat.completion");
        ObjectNode choice = whole.putArray("choices").addObject().put("index", 0);
        choice.putObject("message").put("role", "assistant").put("content", text.toString());
        choice.put("finish_reason", "stop");
        whole.putObject("usage").put("completion_tokens", taken);
        sink.begin(OK, "application/json");
        sink.write(whole.toString().getBytes(StandardCharsets.UTF_8));
    }

    private ObjectNode document(String object) {
        return Json.object().put("id", id).put("object", object).put("model", model.toString());
    }

    private void event(String data) throws IOException {
        if (!sink.isCommitted()) {
            sink.begin(OK, "text/event-stream");
        }
        sink.write(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
    }
}
