package org.baobabspindle.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.baobabspindle.core.log.LogCodec;

/** The JSON mapper of the HTTP clients and endpoints. */
public final class Json {
    private Json() {}

    /**
     * Returns the shared mapper.
     *
     * @return the mapper; it must not be reconfigured
     */
    public static ObjectMapper mapper() {
        return LogCodec.mapper();
    }

    /**
     * Returns a new empty JSON object.
     *
     * @return the object
     */
    public static ObjectNode object() {
        return LogCodec.mapper().createObjectNode();
    }
}
