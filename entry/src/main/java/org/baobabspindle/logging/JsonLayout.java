package org.baobabspindle.logging;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.ThrowableProxyUtil;
import ch.qos.logback.core.LayoutBase;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;

/**
 * Formats each log event as one line of JSON. The fields of a message that is a JSON object are merged into the line; any other
 * message is its {@code message} field.
 */
public final class JsonLayout extends LayoutBase<ILoggingEvent> {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Creates a layout. */
    public JsonLayout() {}

    @Override
    public String doLayout(ILoggingEvent event) {
        ObjectNode line = MAPPER.createObjectNode();
        line.put("time", Instant.ofEpochMilli(event.getTimeStamp()).toString());
        line.put("level", event.getLevel().toString());
        line.put("logger", event.getLoggerName());
        addMessage(line, event.getFormattedMessage());
        if (event.getThrowableProxy() != null) {
            line.put("stack", ThrowableProxyUtil.asString(event.getThrowableProxy()));
        }
        return line + System.lineSeparator();
    }

    private static void addMessage(ObjectNode line, String message) {
        if (message != null && message.startsWith("{")) {
            try {
                line.setAll((ObjectNode) MAPPER.readTree(message));
                return;
            } catch (JsonProcessingException e) {
                line.put("malformed", true);
            }
        }
        line.put("message", message);
    }
}
