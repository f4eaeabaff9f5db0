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
public record RequestResult(Outcome outcome, Optional<StoredAnswer> answer) {
    private static final Outcome ELSEWHERE = new Outcome.Unknown("another entry may run this key");

    /** The log gave the key to another entry, which must be asked. */
    static RequestResult elsewhere() {
        return of(ELSEWHERE);
    }

    boolean isElsewhere() {
        return outcome.equals(ELSEWHERE);
    }

    static RequestResult of(Outcome outcome) {
        return new RequestResult(outcome, Optional.empty());
    }
}
