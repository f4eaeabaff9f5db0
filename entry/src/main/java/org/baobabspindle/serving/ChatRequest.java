package org.baobabspindle.serving;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import org.baobabspindle.http.Json;

/**
 * A chat completion request as sent by a caller.
 *
 * @param model the model name that the caller sent
 * @param prompt the messages joined into one string
 * @param maxTokens the maximum number of tokens to generate
 * @param stream whether the response is streamed token by token
 */
public record ChatRequest(String model, String prompt, int maxTokens, boolean stream) {
    private static final int DEFAULT_MAX_TOKENS = 64;
    private static final int MAX_TOKENS = 8_192;
    private static final int PREFIX_CHARS = 64;

    /**
     * Parses a request body.
     *
     * @param body the JSON body
     * @return the request
     * @throws IllegalArgumentException if the body is malformed; the message names the field
     */
    public static ChatRequest parse(String body) {
        JsonNode json;
        try {
            json = Json.mapper().readTree(body);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("the body is not valid JSON: " + e.getOriginalMessage(), e);
        }
        require(json.isObject(), "the body must be a JSON object");
        require(json.path("model").isTextual(), "model must be a string");
        require(
                json.path("messages").isArray() && !json.path("messages").isEmpty(),
                "messages must be a non-empty array");
        StringBuilder prompt = new StringBuilder();
        for (JsonNode m : json.path("messages")) {
            require(m.path("content").isTextual(), "messages[].content must be a string");
            prompt.append(m.path("role").asText("user")).append(": ");
            prompt.append(m.path("content").asText()).append('\n');
        }
        int maxTokens = json.path("max_tokens").asInt(DEFAULT_MAX_TOKENS);
        require(
                maxTokens >= 1 && maxTokens <= MAX_TOKENS,
                "max_tokens must be 1 to " + MAX_TOKENS + " but was " + maxTokens);
        boolean stream =
                Optional.of(json.path("stream")).map(JsonNode::asBoolean).orElse(false);
        return new ChatRequest(json.path("model").asText(), prompt.toString(), maxTokens, stream);
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }

    /**
     * Returns the start of the prompt. Prompts with the same start can share cached work on an engine.
     *
     * @return at most {@value #PREFIX_CHARS} characters
     */
    String prefix() {
        return prompt.substring(0, Math.min(prompt.length(), PREFIX_CHARS));
    }
}
