package org.baobabspindle.core.log;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import org.baobabspindle.core.id.LogOffset;

/**
 * Records and replays traces. A trace is a log with the verdict on each record, one JSON object per line. Replaying it
 * finds verdicts that this version of the code decides differently.
 */
public final class Trace {
    private Trace() {}

    /**
     * A verdict that differs from the recorded one.
     *
     * @param offset the offset of the record
     * @param recorded the recorded verdict
     * @param now the verdict of this version of the code
     */
    public record Difference(LogOffset offset, String recorded, String now) {}

    /**
     * Replays a record and returns it with its verdict as a trace line.
     *
     * @param state the state after all earlier records; the record is applied to it
     * @param line the record
     * @return the trace line
     */
    public static String record(ReplayedState state, String line) {
        Verdict verdict = state.apply(state.nextOffset(), line);
        ObjectNode recorded = LogCodec.mapper().createObjectNode();
        return recorded.put("record", line).put("verdict", text(verdict)).toString();
    }

    /**
     * Replays a trace from its first record.
     *
     * @param lines the lines of the trace
     * @return the first difference, or empty if every verdict is as recorded
     * @throws IllegalArgumentException if a line is not a valid trace line
     */
    public static Optional<Difference> replay(List<String> lines) {
        ReplayedState state = new ReplayedState();
        for (String line : lines) {
            JsonNode recorded = parse(line);
            LogOffset offset = state.nextOffset();
            String now = text(state.apply(offset, recorded.path("record").asText()));
            if (!now.equals(recorded.path("verdict").asText())) {
                return Optional.of(
                        new Difference(offset, recorded.path("verdict").asText(), now));
            }
        }
        return Optional.empty();
    }

    private static String text(Verdict verdict) {
        return verdict.reason().isEmpty() ? verdict.kind().name() : verdict.kind() + ": " + verdict.reason();
    }

    private static JsonNode parse(String line) {
        try {
            JsonNode node = LogCodec.mapper().readTree(line);
            if (!node.path("record").isTextual() || !node.path("verdict").isTextual()) {
                throw new IllegalArgumentException("invalid trace line: " + line);
            }
            return node;
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("invalid trace line: " + line, e);
        }
    }
}
