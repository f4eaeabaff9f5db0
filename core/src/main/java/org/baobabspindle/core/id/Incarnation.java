package org.baobabspindle.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * One run of an instance. A process that starts again, also at the same address, is another incarnation.
 *
 * @param instance the instance
 * @param number the number of the run; later runs have higher numbers
 */
public record Incarnation(InstanceId instance, long number) implements Comparable<Incarnation> {
    private static final char SEPARATOR = '~';

    /** Checks the parts. */
    public Incarnation {
        Checks.require(instance != null, "instance must be given");
        Checks.notNegative("incarnation number", number);
    }

    /**
     * Returns the incarnation of an instance.
     *
     * @param instance the name of the instance
     * @param number the number of the run
     * @return the incarnation
     */
    public static Incarnation of(String instance, long number) {
        return new Incarnation(InstanceId.of(instance), number);
    }

    /**
     * Reads the text form {@code instance~number}.
     *
     * @param text the text form
     * @return the incarnation
     * @throws IllegalArgumentException if the text has another form
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static Incarnation parse(String text) {
        int at = text.lastIndexOf(SEPARATOR);
        Checks.require(at > 0, "incarnation must read instance~number but was " + text);
        return of(text.substring(0, at), Long.parseLong(text.substring(at + 1)));
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
