package org.baobabspindle.core.log;

import com.fasterxml.jackson.databind.JsonNode;
import org.baobabspindle.core.id.ConfigurationVersion;

/**
 * A merge patch against a numbered configuration version.
 *
 * @param base the version the operator saw
 * @param patch the merge patch
 */
public record ConfigurationPatched(ConfigurationVersion base, JsonNode patch) implements LogRecord {
    @Override
    public Verdict applyTo(ReplayedState state, RecordPosition position) {
        return state.configurationState().patch(base, patch);
    }
}
