package org.baobabspindle.serving;

import java.util.Optional;
import org.baobabspindle.core.request.Outcome;
import org.baobabspindle.core.request.StoredAnswer;

/**
 * The outcome of a request, with its complete answer if one is stored.
 *
 * @param outcome the outcome
 * @param answer the stored answer of a completed request
 */
public record RequestResult(Outcome outcome, Optional<StoredAnswer> answer) {
    private static final Outcome DECIDED_ELSEWHERE = new Outcome.Unknown("another entry may run this key");

    /** Returns the result of a request whose key the log assigned to another entry, which must serve it. */
    static RequestResult decidedElsewhere() {
        return of(DECIDED_ELSEWHERE);
    }

    boolean isDecidedElsewhere() {
        return outcome.equals(DECIDED_ELSEWHERE);
    }

    static RequestResult of(Outcome outcome) {
        return new RequestResult(outcome, Optional.empty());
    }
}
