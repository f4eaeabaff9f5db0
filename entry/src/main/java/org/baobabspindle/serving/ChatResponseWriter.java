package org.baobabspindle.serving;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.baobabspindle.core.id.ModelVersion;
import org.baobabspindle.http.Json;
import org.baobabspindle.runner.CompletionClient;

/** Writes the tokens of a chat completion to the caller, as one JSON document or as a stream of server-sent events. */
final class ChatResponseWriter implements CompletionClient.TokenListener {
    private static final int OK = 200;

    private final String id;
    private final ModelVersion model;
    private final boolean stream;
    private final ResponseSink sink;
    private final StringBuilder text = new StringBuilder();
    private int tokenCount;

    ChatResponseWriter(String id, ModelVersion model, boolean stream, ResponseSink sink) {
        this.id = id;
        this.model = model;
        this.stream = stream;
        this.sink = sink;
    }

    /** Returns the number of tokens received so far. */
    int tokenCount() {
        return tokenCount;
    }

    @Override
    public void tokenReceived(int index, String token) throws CompletionClient.CallerDisconnectedException {
        if (index != tokenCount) {
            throw new IllegalStateException(
                    "token " + index + " was received, but token " + tokenCount + " is expected");
        }
        tokenCount++;
        if (!stream) {
            text.append(token);
            return;
        }
        ObjectNode chunk = newDocument("chat.completion.chunk");
        ObjectNode choice = chunk.putArray("choices").addObject().put("index", 0);
        choice.putObject("delta").put("content", token);
        choice.putNull("finish_reason");
        try {
            writeEvent(chunk.toString());
        } catch (IOException e) {
            throw new CompletionClient.CallerDisconnectedException(e);
        }
    }

    /** Writes the end of a complete response. */
    void finish() throws IOException {
        if (stream) {
            ObjectNode last = newDocument("chat.completion.chunk");
            ObjectNode choice = last.putArray("choices").addObject().put("index", 0);
            choice.putObject("delta");
            choice.put("finish_reason", "stop");
            writeEvent(last.toString());
            writeEvent("[DONE]");
            return;
        }
        ObjectNode completion = newDocument("chat.completion");
        ObjectNode choice = completion.putArray("choices").addObject().put("index", 0);
        choice.putObject("message").put("role", "assistant").put("content", text.toString());
        choice.put("finish_reason", "stop");
        completion.putObject("usage").put("completion_tokens", tokenCount);
        sink.begin(OK, "application/json");
        sink.write(completion.toString().getBytes(StandardCharsets.UTF_8));
    }

    private ObjectNode newDocument(String object) {
        return Json.object().put("id", id).put("object", object).put("model", model.toString());
    }

    private void writeEvent(String data) throws IOException {
        if (!sink.isCommitted()) {
            sink.begin(OK, "text/event-stream");
        }
        sink.write(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
    }
}
