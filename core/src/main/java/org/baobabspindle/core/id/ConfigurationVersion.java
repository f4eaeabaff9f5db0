package org.baobabspindle.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The number of a configuration; each accepted patch raises it by one.
 *
 * @param value the number; not negative
 */
public record ConfigurationVersion(@JsonValue long value) implements Comparable<ConfigurationVersion> {
    /** Checks the number. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public ConfigurationVersion {
        Checks.notNegative("configuration version", value);
    }

    /**
     * Returns the value for a number.
     *
     * @param value the number
     * @return the typed value
     * @throws IllegalArgumentException if the number is negative
     */
    public static ConfigurationVersion of(long value) {
        return new ConfigurationVersion(value);
    }

    /**
     * Returns the value that follows this one.
     *
     * @return this value plus one
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
