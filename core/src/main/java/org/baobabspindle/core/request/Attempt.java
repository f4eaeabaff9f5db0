package org.baobabspindle.core.request;

import java.util.Optional;

/** One attempt to run a request on a backend server. Safe for use by several threads. */
public final class Attempt {
    private AttemptPhase phase = AttemptPhase.PREPARED;
    private Optional<Settlement> settlement = Optional.empty();

    /** Creates an attempt of which nothing has been handed over. */
    public Attempt() {}

    /**
     * Applies an event. Events after the settlement change nothing.
     *
     * @param event the event
     * @return the settlement if this very event ended the attempt
     * @throws IllegalStateException if the event cannot follow
     */
    public synchronized Optional<Settlement> on(AttemptEvent event) {
        AttemptPhase.Transition t = phase.on(event);
        if (!t.possible()) {
            throw new IllegalStateException(event + " cannot follow in phase " + phase);
        }
        phase = t.next();
        if (t.settlement().isPresent()) {
            settlement = t.settlement();
        }
        return t.settlement();
    }

    /**
     * Returns the settlement.
     *
     * @return what is known of the attempt, or empty while it is under way
     */
    public synchronized Optional<Settlement> settlement() {
        return settlement;
    }

    /**
     * Returns the phase.
     *
     * @return the present phase
     */
    public synchronized AttemptPhase phase() {
        return phase;
    }
}
