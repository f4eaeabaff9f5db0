package org.baobabspindle.core.id;

/** Preconditions shared by the value types of the decisions. */
public final class Checks {
    /** The longest identifier that is accepted, in UTF-16 units. */
    public static final int MAX_IDENTIFIER_LENGTH = 200;

    private Checks() {}

    /**
     * Returns an identifier after checking its form.
     *
     * @param what the name of the value, used in the message
     * @param value the identifier
     * @return the identifier unchanged
     * @throws IllegalArgumentException if the identifier is null, blank, too long or holds control characters
     */
    public static String identifier(String what, String value) {
        require(value != null && !value.isBlank(), what + " must not be blank");
        require(value.length() <= MAX_IDENTIFIER_LENGTH, what + " is longer than " + MAX_IDENTIFIER_LENGTH);
        require(value.chars().noneMatch(Character::isISOControl), what + " holds a control character");
        return value;
    }

    /**
     * Returns a number after checking that it is not negative.
     *
     * @param what the name of the value, used in the message
     * @param value the number
     * @return the number unchanged
     * @throws IllegalArgumentException if the number is negative
     */
    public static long notNegative(String what, long value) {
        require(value >= 0, what + " must not be negative but was " + value);
        return value;
    }

    /**
     * Checks a condition on an argument.
     *
     * @param condition whether the argument is acceptable
     * @param message the message that names the value
     * @throws IllegalArgumentException if the condition is false
     */
    public static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }
}
