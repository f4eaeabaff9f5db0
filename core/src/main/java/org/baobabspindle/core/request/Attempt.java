package org.baobabspindle.core.request;

import java.util.Optional;

/** One attempt to run a request on a backend server. Safe for use by several threads. */
public final class Attempt {
    private AttemptPhase phase = AttemptPhase.PREPARED;
    private Optional<Settlement> settlement = Optional.empty();
    private Optional<AttemptEvent> settledBy = Optional.empty();

    /** Creates an attempt of which nothing has been handed over. */
    public Attempt() {}

    /**
     * Applies an event. Events after the settlement change nothing.
     *
     * @param event the event
     * @return the settlement if this very event ended the attempt
     * @throws IllegalStateException if the event cannot follow
     */
    public synchronized Optional<Settlement> apply(AttemptEvent event) {
        AttemptPhase.Transition t = phase.transition(event);
        if (!t.possible()) {
            throw new IllegalStateException(event + " cannot follow in phase " + phase);
        }
        phase = t.next();
        if (t.settlement().isPresent()) {
            settlement = t.settlement();
            settledBy = Optional.of(event);
        }
        return t.settlement();
    }

    /**
     * Notes that the first byte is about to be written, unless the attempt is already settled.
     *
     * @return whether the byte may be written
     */
    public synchronized boolean tryHandOver() {
        if (phase != AttemptPhase.PREPARED) {
            return false;
        }
        apply(AttemptEvent.HAND_OVER_STARTED);
        return true;
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
     * Returns the event that settled the attempt.
     *
     * @return the event, or empty while the attempt is under way
     */
    public synchronized Optional<AttemptEvent> settledBy() {
        return settledBy;
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
