package org.baobabspindle.core.request;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.EnumMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

class AttemptPhaseTests {
    private static final String IMPOSSIBLE = "impossible";

    /** The expected next phase or settlement for each phase and event, stated independently of the implementation. */
    private static final Map<AttemptPhase, String[]> EXPECTED = new EnumMap<>(Map.of(
            AttemptPhase.PREPARED,
            new String[] {
                "HANDED_OVER", IMPOSSIBLE, IMPOSSIBLE, IMPOSSIBLE, "NOT_RUN", "NOT_RUN", "NOT_RUN",
            },
            AttemptPhase.HANDED_OVER,
            new String[] {
                IMPOSSIBLE, "NOT_RUN", "ANSWERING", IMPOSSIBLE, "UNKNOWN", "UNKNOWN", "UNKNOWN",
            },
            AttemptPhase.ANSWERING,
            new String[] {
                IMPOSSIBLE, IMPOSSIBLE, IMPOSSIBLE, "COMPLETED", "UNKNOWN", "UNKNOWN", "UNKNOWN",
            },
            AttemptPhase.SETTLED,
            new String[] {"SETTLED", "SETTLED", "SETTLED", "SETTLED", "SETTLED", "SETTLED", "SETTLED"}));

    @Test
    void everyPhaseAndEventHasTheExpectedTransition() {
        for (AttemptPhase phase : AttemptPhase.values()) {
            int column = 0;
            for (AttemptEvent event : AttemptEvent.values()) {
                AttemptPhase.Transition transition = phase.transition(event);
                String actual = !transition.possible()
                        ? IMPOSSIBLE
                        : transition
                                .settlement()
                                .map(Enum::name)
                                .orElse(transition.next().name());
                assertWithMessage(phase + " on " + event).that(actual).isEqualTo(EXPECTED.get(phase)[column]);
                column++;
            }
        }
    }

    @Test
    void neverSettlesAsNotRunAfterTheResponseHasStarted() {
        for (AttemptEvent event : AttemptEvent.values()) {
            AttemptPhase.Transition transition = AttemptPhase.ANSWERING.transition(event);
            assertThat(transition
                            .settlement()
                            .filter(s -> s == Settlement.NOT_RUN)
                            .isPresent())
                    .isFalse();
        }
    }

    @Test
    void refusesToHandOverASettledAttempt() {
        Attempt attempt = new Attempt();
        attempt.apply(AttemptEvent.DEADLINE_PASSED);
        assertThat(attempt.tryHandOver()).isFalse();
        assertThat(attempt.settlement()).hasValue(Settlement.NOT_RUN);
    }

    @Test
    void ignoresEventsAfterTheSettlement() {
        Attempt attempt = new Attempt();
        attempt.apply(AttemptEvent.HAND_OVER_STARTED);
        attempt.apply(AttemptEvent.CONNECTION_BROKEN);
        attempt.apply(AttemptEvent.ANSWER_ENDED);
        assertThat(attempt.settlement()).hasValue(Settlement.UNKNOWN);
        assertThat(attempt.settledBy()).hasValue(AttemptEvent.CONNECTION_BROKEN);
    }

    @Test
    void throwsOnAnImpossibleEvent() {
        assertThrows(IllegalStateException.class, () -> new Attempt().apply(AttemptEvent.ANSWER_ENDED));
    }
}
