package org.baobabspindle.core.id;

/** Argument checks for value types. */
public final class Checks {
    /** The maximum length of an identifier, in UTF-16 code units. */
    public static final int MAX_IDENTIFIER_LENGTH = 200;

    private Checks() {}

    /**
     * Checks that an identifier is well-formed and returns it.
     *
     * @param name the name of the value, for the exception message
     * @param value the identifier
     * @return the identifier
     * @throws IllegalArgumentException if the identifier is null, blank, too long or contains a control character
     */
    public static String identifier(String name, String value) {
        return identifier(name, value, MAX_IDENTIFIER_LENGTH);
    }

    /**
     * Checks that an identifier that may have another length than usual ones is well-formed and returns it.
     *
     * @param name the name of the value, for the exception message
     * @param value the identifier
     * @param maxLength its maximum length, in UTF-16 code units
     * @return the identifier
     * @throws IllegalArgumentException if the identifier is null, blank, too long or contains a control character
     */
    public static String identifier(String name, String value, int maxLength) {
        require(value != null && !value.isBlank(), name + " must not be blank");
        require(value.length() <= maxLength, name + " exceeds the maximum length of " + maxLength);
        require(value.chars().noneMatch(Character::isISOControl), name + " contains a control character");
        return value;
    }

    /**
     * Returns whether a value is a well-formed identifier.
     *
     * @param value the value
     * @return whether {@link #identifier} accepts it
     */
    static boolean isIdentifier(String value) {
        return !value.isBlank()
                && value.length() <= MAX_IDENTIFIER_LENGTH
                && value.chars().noneMatch(Character::isISOControl);
    }

    /**
     * Checks that a number is not negative and returns it.
     *
     * @param name the name of the value, for the exception message
     * @param value the number
     * @return the number
     * @throws IllegalArgumentException if the number is negative
     */
    public static long notNegative(String name, long value) {
        require(value >= 0, name + " must not be negative but was " + value);
        return value;
    }

    /**
     * Checks that a TCP port is valid and returns it.
     *
     * @param name the name of the value, for the exception message
     * @param value the port
     * @return the port
     * @throws IllegalArgumentException if the port is not between 1 and 65535
     */
    public static int port(String name, int value) {
        require(value > 0 && value < 65_536, name + " must be between 1 and 65535 but was " + value);
        return value;
    }

    /**
     * Checks a condition on an argument.
     *
     * @param condition whether the argument is valid
     * @param message the exception message, which names the value
     * @throws IllegalArgumentException if the condition is false
     */
    public static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }
}
