package org.baobabspindle.core.log;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.Optional;

/** Converts log records to JSON and back. */
public final class LogCodec {
    private static final int MAX_NESTING_DEPTH = 50;
    private static final ObjectMapper MAPPER = lenientBuilder().build();
    private static final ObjectMapper STRICT_MAPPER = lenientBuilder()
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
            .build();

    private static JsonMapper.Builder lenientBuilder() {
        return JsonMapper.builder()
                .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
                .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);
    }

    static {
        StreamReadConstraints constraints = StreamReadConstraints.builder()
                .maxNestingDepth(MAX_NESTING_DEPTH)
                .build();
        MAPPER.getFactory().setStreamReadConstraints(constraints);
        STRICT_MAPPER.getFactory().setStreamReadConstraints(constraints);
    }

    private LogCodec() {}

    /**
     * Returns the mapper for configurations and states. Absent fields take their defaults.
     *
     * @return the shared mapper; it must not be reconfigured
     */
    public static ObjectMapper mapper() {
        return MAPPER;
    }

    /**
     * Converts a record to JSON.
     *
     * @param envelope the record with its writer and sequence number
     * @return one line of JSON
     */
    public static String write(LogEnvelope envelope) {
        try {
            return MAPPER.writeValueAsString(envelope);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("log record could not be converted to JSON", e);
        }
    }

    /**
     * Parses a record.
     *
     * @param line one line of JSON
     * @return the record, or empty if the line is not a valid record; such lines have no effect at any entry
     */
    public static Optional<LogEnvelope> read(String line) {
        try {
            return Optional.ofNullable(STRICT_MAPPER.readValue(line, LogEnvelope.class));
        } catch (JsonProcessingException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
