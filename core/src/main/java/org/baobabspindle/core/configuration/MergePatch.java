package org.baobabspindle.core.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.stream.Collectors;

/** Applies merge patches (RFC 7396) to a configuration. */
public final class MergePatch {
    private MergePatch() {}

    /**
     * Applies a merge patch and checks the result.
     *
     * @param mapper the mapper that reads and writes configurations
     * @param configuration the configuration to change
     * @param patch the merge patch
     * @return the patched configuration
     * @throws InvalidConfigurationException if the result is not a valid configuration; the message names the field
     */
    public static Configuration apply(ObjectMapper mapper, Configuration configuration, JsonNode patch)
            throws InvalidConfigurationException {
        if (!patch.isObject()) {
            throw new InvalidConfigurationException("the patch must be a JSON object", null);
        }
        JsonNode merged = merge(mapper.valueToTree(configuration), patch);
        try {
            return mapper.treeToValue(merged, Configuration.class);
        } catch (JsonMappingException e) {
            throw new InvalidConfigurationException(path(e) + firstLine(reason(e)), e);
        } catch (JsonProcessingException | IllegalArgumentException e) {
            throw new InvalidConfigurationException(firstLine(e.getMessage()), e);
        }
    }

    private static JsonNode merge(JsonNode target, JsonNode patch) {
        if (!patch.isObject()) {
            return patch;
        }
        ObjectNode result = target != null && target.isObject()
                ? ((ObjectNode) target).deepCopy()
                : JsonNodeFactory.instance.objectNode();
        for (Map.Entry<String, JsonNode> field : patch.properties()) {
            if (field.getValue().isNull()) {
                result.remove(field.getKey());
            } else {
                result.set(field.getKey(), merge(result.get(field.getKey()), field.getValue()));
            }
        }
        return result;
    }

    /** Returns the path of the invalid field as a prefix of the message, such as {@code models.chests@1.groups: }. */
    private static String path(JsonMappingException e) {
        String path = e.getPath().stream()
                .map(r -> r.getFieldName() == null ? "[" + r.getIndex() + "]" : r.getFieldName())
                .collect(Collectors.joining("."));
        return path.isEmpty() ? "" : path + ": ";
    }

    private static String reason(JsonMappingException e) {
        boolean failedCheck = e.getCause() instanceof IllegalArgumentException;
        return failedCheck ? e.getCause().getMessage() : e.getOriginalMessage();
    }

    private static String firstLine(String message) {
        return message == null ? "invalid" : message.lines().findFirst().orElse("invalid");
    }
}
