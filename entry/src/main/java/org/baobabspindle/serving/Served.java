package org.baobabspindle.serving;

import java.util.Optional;
import org.baobabspindle.core.request.Outcome;
import org.baobabspindle.core.request.StoredAnswer;

/**
 * How a request ended, with its whole answer if one is kept.
 *
 * @param outcome the outcome
 * @param answer the answer of a completed request
 */
public record Served(Outcome outcome, Optional<StoredAnswer> answer) {
    private static final Outcome ELSEWHERE = new Outcome.Unknown("another entry may run this key");

    /** The log gave the key to another entry, which must be asked. */
    static Served elsewhere() {
        return of(ELSEWHERE);
    }

    boolean isElsewhere() {
        return outcome.equals(ELSEWHERE);
    }

    static Served of(Outcome outcome) {
        return new Served(outcome, Optional.empty());
    }
}
