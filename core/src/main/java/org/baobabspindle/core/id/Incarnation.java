package org.baobabspindle.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * One run of the process on an instance. A process that restarts, even at the same address, is a new incarnation.
 *
 * @param instance the instance
 * @param number the number of the run; not negative, higher for later runs
 */
public record Incarnation(InstanceId instance, long number) implements Comparable<Incarnation> {
    private static final char SEPARATOR = '~';

    /** Validates the instance and the number. */
    public Incarnation {
        Checks.require(instance != null, "instance must not be null");
        Checks.notNegative("incarnation number", number);
    }

    /**
     * Returns the incarnation of an instance with the given number.
     *
     * @param instance the identifier of the instance
     * @param number the number of the run
     * @return the incarnation
     */
    public static Incarnation of(String instance, long number) {
        return new Incarnation(InstanceId.of(instance), number);
    }

    /**
     * Parses the text form {@code instance~number}.
     *
     * @param text the text form
     * @return the incarnation
     * @throws IllegalArgumentException if the text does not have this form
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static Incarnation parse(String text) {
        int separator = text.lastIndexOf(SEPARATOR);
        Checks.require(separator > 0, "incarnation must have the form instance~number but was " + text);
        return of(text.substring(0, separator), Long.parseLong(text.substring(separator + 1)));
    }

    @Override
    public int compareTo(Incarnation other) {
        int byInstance = instance.compareTo(other.instance);
        return byInstance != 0 ? byInstance : Long.compare(number, other.number);
    }

    @Override
    @JsonValue
    public String toString() {
        return instance.value() + SEPARATOR + number;
    }
}
