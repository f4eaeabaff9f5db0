package org.baobabspindle.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The version number of the configuration; each accepted patch increments it by one.
 *
 * @param value the number; not negative
 */
public record ConfigurationVersion(@JsonValue long value) implements Comparable<ConfigurationVersion> {
    /** Validates the number. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public ConfigurationVersion {
        Checks.notNegative("configuration version", value);
    }

    /**
     * Returns the configuration version with the given number.
     *
     * @param value the number
     * @return the configuration version
     * @throws IllegalArgumentException if the number is negative
     */
    public static ConfigurationVersion of(long value) {
        return new ConfigurationVersion(value);
    }

    /**
     * Returns the next configuration version.
     *
     * @return the version number plus one
     */
    public ConfigurationVersion next() {
        return new ConfigurationVersion(value + 1);
    }

    @Override
    public int compareTo(ConfigurationVersion other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
