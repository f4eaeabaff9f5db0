package org.baobabspindle.core.log;

import com.fasterxml.jackson.databind.JsonNode;
import org.baobabspindle.core.configuration.Configuration;
import org.baobabspindle.core.configuration.InvalidConfigurationException;
import org.baobabspindle.core.configuration.MergePatch;
import org.baobabspindle.core.id.ConfigurationVersion;

/** The configuration and its version, as computed by replay. */
public final class ConfigurationState {
    private Configuration configuration = Configuration.EMPTY;
    private ConfigurationVersion version = ConfigurationVersion.of(0);

    ConfigurationState() {}

    /**
     * Returns the configuration.
     *
     * @return the configuration of the current version
     */
    public Configuration configuration() {
        return configuration;
    }

    /**
     * Returns the version of the configuration.
     *
     * @return the current version
     */
    public ConfigurationVersion version() {
        return version;
    }

    Verdict patch(ConfigurationVersion base, JsonNode patch) {
        if (!base.equals(version)) {
            return Verdict.refused("stale: patch is against version " + base + ", current version is " + version);
        }
        try {
            configuration = MergePatch.apply(LogCodec.mapper(), configuration, patch);
        } catch (InvalidConfigurationException e) {
            return Verdict.refused("invalid: " + e.getMessage());
        }
        version = version.next();
        return Verdict.ACCEPTED;
    }

    void restore(Configuration restored, ConfigurationVersion restoredVersion) {
        configuration = restored;
        version = restoredVersion;
    }
}
