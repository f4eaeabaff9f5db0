package org.baobabspindle.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The position of a record in the log.
 *
 * @param value the number; not negative
 */
public record LogOffset(@JsonValue long value) implements Comparable<LogOffset> {
    /** Checks the number. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public LogOffset {
        Checks.notNegative("log offset", value);
    }

    /**
     * Returns the value for a number.
     *
     * @param value the number
     * @return the typed value
     * @throws IllegalArgumentException if the number is negative
     */
    public static LogOffset of(long value) {
        return new LogOffset(value);
    }

    /**
     * Returns the value that follows this one.
     *
     * @return this value plus one
     */
    public LogOffset next() {
        return new LogOffset(value + 1);
    }

    @Override
    public int compareTo(LogOffset other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
