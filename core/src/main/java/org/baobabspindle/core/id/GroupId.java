package org.baobabspindle.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The identifier of a group: the offset of the log record that formed it. A group is a model replica that spans one or
 * more instances.
 *
 * @param value the number; not negative
 */
public record GroupId(@JsonValue long value) implements Comparable<GroupId> {
    /** Validates the number. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public GroupId {
        Checks.notNegative("group", value);
    }

    /**
     * Returns the group id with the given number.
     *
     * @param value the number
     * @return the group id
     * @throws IllegalArgumentException if the number is negative
     */
    public static GroupId of(long value) {
        return new GroupId(value);
    }

    /**
     * Returns the next group id.
     *
     * @return the id plus one
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
