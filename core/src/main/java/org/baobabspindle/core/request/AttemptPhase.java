package org.baobabspindle.core.request;

import java.util.Optional;

/** The state machine of an attempt. Each pair of a phase and an event has one transition. */
public enum AttemptPhase {
    /** No byte has been handed to the backend server. */
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
    /** Some bytes may have reached the backend server; it has not answered. */
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
    /** The backend server runs the request and its answer is arriving. */
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
    /** The attempt is over; late events change nothing. */
    SETTLED {
        @Override
        public Transition transition(AttemptEvent event) {
            return Transition.to(SETTLED);
        }
    };

    /**
     * Decides what an event does to an attempt in this phase.
     *
     * @param event the event
     * @return the transition
     */
    public abstract Transition transition(AttemptEvent event);

    /**
     * The effect of an event.
     *
     * @param next the phase that follows
     * @param settlement what is known, if the event ends the attempt
     * @param possible whether the event can follow from the phase; if not, the driver of the attempt is broken
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
