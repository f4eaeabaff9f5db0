package org.baobabspindle.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The offset of a record in the log.
 *
 * @param value the number; not negative
 */
public record LogOffset(@JsonValue long value) implements Comparable<LogOffset> {
    /** Validates the number. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public LogOffset {
        Checks.notNegative("log offset", value);
    }

    /**
     * Returns the offset with the given number.
     *
     * @param value the number
     * @return the offset
     * @throws IllegalArgumentException if the number is negative
     */
    public static LogOffset of(long value) {
        return new LogOffset(value);
    }

    /**
     * Returns the next offset.
     *
     * @return the offset plus one
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
