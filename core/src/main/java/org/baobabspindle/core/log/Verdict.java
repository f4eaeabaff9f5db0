package org.baobabspindle.core.log;

/**
 * What replay decided about a record.
 *
 * @param kind whether the record took effect
 * @param reason why it did not, empty if it did
 */
public record Verdict(Kind kind, String reason) {
    /** The record took effect. */
    public static final Verdict ACCEPTED = new Verdict(Kind.ACCEPTED, "");

    /** The record was appended twice and took effect the first time. */
    public static final Verdict DUPLICATE = new Verdict(Kind.DUPLICATE, "duplicate");

    /** The ways in which a record can end. */
    public enum Kind {
        /** The record took effect. */
        ACCEPTED,
        /** The record broke a rule at its offset and has no effect. */
        REFUSED,
        /** The record repeats one that was replayed before and has no effect. */
        DUPLICATE
    }

    /**
     * Returns the verdict on a record without effect.
     *
     * @param reason the rule that it broke
     * @return the verdict
     */
    public static Verdict refused(String reason) {
        return new Verdict(Kind.REFUSED, reason);
    }

    /**
     * Tells whether the record took effect.
     *
     * @return whether the record was accepted
     */
    public boolean isAccepted() {
        return kind == Kind.ACCEPTED;
    }
}
