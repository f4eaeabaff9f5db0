package org.baobabspindle.logging;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;

/**
 * Writes one structured line for each event to the logger {@code baobabspindle.event}. The appender of that logger queues the
 * lines and drops some rather than block on a slow reader of standard output.
 */
public final class EventLog {
    private static final JsonFactory JSON = new JsonFactory();

    private final Logger logger = System.getLogger("baobabspindle.event");

    /** Creates a log. */
    public EventLog() {}

    /**
     * Writes a line at level INFO.
     *
     * @param event the name of the event, such as {@code route}
     * @param reason the reason for the event
     * @param fields alternating names and values; numbers and booleans keep their JSON type, others are written as strings
     */
    public void write(String event, String reason, Object... fields) {
        if (!logger.isLoggable(Level.INFO)) {
            return;
        }
        StringWriter line = new StringWriter(256);
        try (JsonGenerator json = JSON.createGenerator(line)) {
            json.writeStartObject();
            json.writeStringField("event", event);
            json.writeStringField("reason", reason);
            for (int i = 0; i + 1 < fields.length; i += 2) {
                json.writeFieldName(String.valueOf(fields[i]));
                writeValue(json, fields[i + 1]);
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("write to memory failed", e);
        }
        logger.log(Level.INFO, line.toString());
    }

    private static void writeValue(JsonGenerator json, Object value) throws IOException {
        if (value instanceof Long || value instanceof Integer) {
            json.writeNumber(((Number) value).longValue());
        } else if (value instanceof Double d) {
            json.writeNumber(d);
        } else if (value instanceof Boolean b) {
            json.writeBoolean(b);
        } else {
            json.writeString(String.valueOf(value));
        }
    }
}
