package org.baobabspindle.core.log;

/**
 * The decision of replay on a record.
 *
 * @param kind whether the record took effect
 * @param reason why the record has no effect, empty if it took effect
 */
public record Verdict(Kind kind, String reason) {
    /** The verdict on a record that took effect. */
    public static final Verdict ACCEPTED = new Verdict(Kind.ACCEPTED, "");

    /** The verdict on a repeated append: its sequence number is not above the last one of its writer. */
    public static final Verdict DUPLICATE = new Verdict(Kind.DUPLICATE, "duplicate");

    /** The outcomes for a record. */
    public enum Kind {
        /** The record took effect. */
        ACCEPTED,
        /** The record violated a rule at its offset and has no effect. */
        REFUSED,
        /** The record repeats one that was replayed before and has no effect. */
        DUPLICATE
    }

    /**
     * Returns the verdict on a record that is refused.
     *
     * @param reason the rule that it violated
     * @return the verdict
     */
    public static Verdict refused(String reason) {
        return new Verdict(Kind.REFUSED, reason);
    }

    /**
     * Returns whether the record took effect.
     *
     * @return whether the record was accepted
     */
    public boolean isAccepted() {
        return kind == Kind.ACCEPTED;
    }
}
