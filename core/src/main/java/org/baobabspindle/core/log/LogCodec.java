package org.baobabspindle.core.log;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.Optional;

/** The JSON form of log records. */
public final class LogCodec {
    private static final int MAX_NESTING = 50;
    private static final ObjectMapper MAPPER = lenient().build();
    private static final ObjectMapper STRICT = lenient()
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
            .build();

    private static JsonMapper.Builder lenient() {
        return JsonMapper.builder()
                .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
                .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);
    }

    static {
        StreamReadConstraints bounds =
                StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING).build();
        MAPPER.getFactory().setStreamReadConstraints(bounds);
        STRICT.getFactory().setStreamReadConstraints(bounds);
    }

    private LogCodec() {}

    /**
     * Returns the mapper of configurations and states; absent fields take their defaults.
     *
     * @return the shared mapper; it must not be reconfigured
     */
    public static ObjectMapper mapper() {
        return MAPPER;
    }

    /**
     * Writes a record.
     *
     * @param envelope the record with its mark
     * @return one line of JSON
     */
    public static String write(LogEnvelope envelope) {
        try {
            return MAPPER.writeValueAsString(envelope);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a record must have a JSON form", e);
        }
    }

    /**
     * Reads a record.
     *
     * @param line one line of JSON
     * @return the record, or empty if the line is no record; such lines have no effect at any entry
     */
    public static Optional<LogEnvelope> read(String line) {
        try {
            return Optional.ofNullable(STRICT.readValue(line, LogEnvelope.class));
        } catch (JsonProcessingException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
