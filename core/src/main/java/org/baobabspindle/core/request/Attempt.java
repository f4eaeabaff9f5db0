package org.baobabspindle.core.request;

import java.util.Optional;

/** One attempt to run a request on a backend server. This class is thread-safe. */
public final class Attempt {
    private AttemptPhase phase = AttemptPhase.PREPARED;
    private Optional<Settlement> settlement = Optional.empty();
    private Optional<AttemptEvent> settledBy = Optional.empty();

    /** Creates an attempt that has sent nothing to a backend server. */
    public Attempt() {}

    /**
     * Applies an event. Events after the settlement have no effect.
     *
     * @param event the event
     * @return the settlement, or empty if this event did not end the attempt
     * @throws IllegalStateException if the event is impossible in the current phase
     */
    public synchronized Optional<Settlement> apply(AttemptEvent event) {
        AttemptPhase.Transition transition = phase.transition(event);
        if (!transition.possible()) {
            throw new IllegalStateException(event + " is impossible in phase " + phase);
        }
        phase = transition.next();
        if (transition.settlement().isPresent()) {
            settlement = transition.settlement();
            settledBy = Optional.of(event);
        }
        return transition.settlement();
    }

    /**
     * Records that the first byte is about to be sent, unless the attempt is already settled or was handed over before.
     *
     * @return whether the first byte may be sent
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
     * @return the settlement, or empty while the attempt is in progress
     */
    public synchronized Optional<Settlement> settlement() {
        return settlement;
    }

    /**
     * Returns the event that settled the attempt.
     *
     * @return the event, or empty while the attempt is in progress
     */
    public synchronized Optional<AttemptEvent> settledBy() {
        return settledBy;
    }

    /**
     * Returns the current phase.
     *
     * @return the phase
     */
    public synchronized AttemptPhase phase() {
        return phase;
    }
}
