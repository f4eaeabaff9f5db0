package org.baobabspindle.logging;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;

/**
 * Writes one structured line for each decision, with its reason and the ids concerned, to the logger
 * {@code baobabspindle.decision}.
 */
public final class DecisionLog {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Logger LOGGER = System.getLogger("baobabspindle.decision");

    private DecisionLog() {}

    /**
     * Writes a line at level INFO.
     *
     * @param decision the name of the decision, such as {@code route}
     * @param reason the reason for the decision
     * @param fields alternating names and values; values are written as strings
     */
    public static void write(String decision, String reason, Object... fields) {
        if (!LOGGER.isLoggable(Level.INFO)) {
            return;
        }
        ObjectNode line = MAPPER.createObjectNode().put("decision", decision).put("reason", reason);
        for (int i = 0; i + 1 < fields.length; i += 2) {
            line.put(String.valueOf(fields[i]), String.valueOf(fields[i + 1]));
        }
        LOGGER.log(Level.INFO, line.toString());
    }
}
