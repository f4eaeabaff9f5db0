package org.baobabspindle.core.request;

import java.util.Optional;

/** A phase in the state machine of an {@link Attempt}. Each pair of a phase and an event has exactly one transition. */
public enum AttemptPhase {
    /** No byte of the request has been sent to the backend server. */
    PREPARED {
        @Override
        public Transition transition(AttemptEvent event) {
            switch (event) {
                case HAND_OVER_STARTED:
                    return Transition.to(HANDED_OVER);
                case CONNECTION_BROKEN, DEADLINE_PASSED, CALLER_LEFT:
                    return Transition.settle(Settlement.NOT_RUN);
                default:
                    return Transition.impossible();
            }
        }
    },
    /** Bytes of the request may have reached the backend server, which has not responded. */
    HANDED_OVER {
        @Override
        public Transition transition(AttemptEvent event) {
            switch (event) {
                case REFUSED_UNRUN:
                    return Transition.settle(Settlement.NOT_RUN);
                case ANSWER_STARTED:
                    return Transition.to(ANSWERING);
                case CONNECTION_BROKEN, DEADLINE_PASSED, CALLER_LEFT:
                    return Transition.settle(Settlement.UNKNOWN);
                default:
                    return Transition.impossible();
            }
        }
    },
    /** The backend server is running the request and its response is being received. */
    ANSWERING {
        @Override
        public Transition transition(AttemptEvent event) {
            switch (event) {
                case ANSWER_ENDED:
                    return Transition.settle(Settlement.COMPLETED);
                case CONNECTION_BROKEN, DEADLINE_PASSED, CALLER_LEFT:
                    return Transition.settle(Settlement.UNKNOWN);
                default:
                    return Transition.impossible();
            }
        }
    },
    /** The attempt is over; later events have no effect. */
    SETTLED {
        @Override
        public Transition transition(AttemptEvent event) {
            return Transition.to(SETTLED);
        }
    };

    /**
     * Returns the transition for an event in this phase.
     *
     * @param event the event
     * @return the transition
     */
    public abstract Transition transition(AttemptEvent event);

    /**
     * The effect of an event on an attempt.
     *
     * @param next the next phase
     * @param settlement the settlement, or empty if the event does not end the attempt
     * @param possible whether the event can occur in the phase; if not, the code that drives the attempt has a bug
     */
    public record Transition(AttemptPhase next, Optional<Settlement> settlement, boolean possible) {
        private static Transition to(AttemptPhase next) {
            return new Transition(next, Optional.empty(), true);
        }

        private static Transition settle(Settlement settlement) {
            return new Transition(SETTLED, Optional.of(settlement), true);
        }

        private static Transition impossible() {
            return new Transition(SETTLED, Optional.of(Settlement.UNKNOWN), false);
        }
    }
}
