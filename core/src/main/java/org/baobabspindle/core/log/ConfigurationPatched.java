package org.baobabspindle.core.log;

import com.fasterxml.jackson.databind.JsonNode;
import org.baobabspindle.core.id.ConfigurationVersion;

/**
 * Proposes a merge patch to the configuration.
 *
 * @param base the configuration version that the patch is based on
 * @param patch the merge patch
 */
public record ConfigurationPatched(ConfigurationVersion base, JsonNode patch) implements LogRecord {
    @Override
    public Verdict applyTo(ReplayedState state, RecordPosition position) {
        return state.configurationState().patch(base, patch);
    }
}
