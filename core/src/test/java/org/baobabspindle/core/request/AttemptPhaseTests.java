package org.baobabspindle.core.request;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.EnumMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

class AttemptPhaseTests {
    private static final String IMPOSSIBLE = "impossible";

    /** What each event does in each phase, written down apart from the code. */
    private static final Map<AttemptPhase, String[]> TABLE = new EnumMap<>(Map.of(
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
    void everyPairOfPhaseAndEventDoesWhatTheTableSays() {
        for (AttemptPhase phase : AttemptPhase.values()) {
            int column = 0;
            for (AttemptEvent event : AttemptEvent.values()) {
                AttemptPhase.Transition t = phase.transition(event);
                String done = !t.possible()
                        ? IMPOSSIBLE
                        : t.settlement().map(Enum::name).orElse(t.next().name());
                assertWithMessage(phase + " on " + event).that(done).isEqualTo(TABLE.get(phase)[column]);
                column++;
            }
        }
    }

    @Test
    void notRunIsNeverSaidOnceTheAnswerHasStarted() {
        for (AttemptEvent event : AttemptEvent.values()) {
            AttemptPhase.Transition t = AttemptPhase.ANSWERING.transition(event);
            assertThat(t.settlement().filter(s -> s == Settlement.NOT_RUN).isPresent())
                    .isFalse();
        }
    }

    @Test
    void aSettledAttemptHandsNothingOver() {
        Attempt attempt = new Attempt();
        attempt.apply(AttemptEvent.DEADLINE_PASSED);
        assertThat(attempt.tryHandOver()).isFalse();
        assertThat(attempt.settlement()).hasValue(Settlement.NOT_RUN);
    }

    @Test
    void lateEventsChangeNothing() {
        Attempt attempt = new Attempt();
        attempt.apply(AttemptEvent.HAND_OVER_STARTED);
        attempt.apply(AttemptEvent.CONNECTION_BROKEN);
        attempt.apply(AttemptEvent.ANSWER_ENDED);
        assertThat(attempt.settlement()).hasValue(Settlement.UNKNOWN);
        assertThat(attempt.settledBy()).hasValue(AttemptEvent.CONNECTION_BROKEN);
    }

    @Test
    void anEventThatCannotFollowIsABrokenInvariant() {
        assertThrows(IllegalStateException.class, () -> new Attempt().apply(AttemptEvent.ANSWER_ENDED));
    }
}
