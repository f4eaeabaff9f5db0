package org.baobabspindle.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a serving group by the offset of the log record that formed it.
 *
 * @param value the number; not negative
 */
public record GroupId(@JsonValue long value) implements Comparable<GroupId> {
    /** Checks the number. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public GroupId {
        Checks.notNegative("group", value);
    }

    /**
     * Returns the value for a number.
     *
     * @param value the number
     * @return the typed value
     * @throws IllegalArgumentException if the number is negative
     */
    public static GroupId of(long value) {
        return new GroupId(value);
    }

    /**
     * Returns the value that follows this one.
     *
     * @return this value plus one
     */
    public GroupId next() {
        return new GroupId(value + 1);
    }

    @Override
    public int compareTo(GroupId other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
