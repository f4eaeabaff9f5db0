package org.baobabspindle.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import java.util.Set;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.port.OrderAnswer;
import org.junit.jupiter.api.Test;

class OrderSequencesTests {
    private final OrderSequences sequences = new OrderSequences();

    private static BackendServer engine(Optional<String> staged) {
        return TestEngines.engine("e0", Optional.empty(), staged, Optional.empty());
    }

    @Test
    void expectsZeroForUnusedEngine() {
        assertThat(sequences.expected(engine(Optional.empty()))).hasValue(0);
    }

    @Test
    void requiresQueryForEngineWithStagedModel() {
        assertThat(sequences.expected(engine(Optional.of("large")))).isEmpty();
    }

    @Test
    void requiresQueryAfterConflictEvenIfEngineLooksUnused() {
        BackendServer e = engine(Optional.empty());
        assertThat(sequences.expected(e)).hasValue(0);
        sequences.orderAnswered(e.lifetime(), OrderAnswer.CONFLICT, false);
        assertThat(sequences.expected(e)).isEmpty();
        sequences.sequenceReported(e.lifetime(), 1);
        assertThat(sequences.expected(e)).hasValue(1);
    }

    @Test
    void forgetsEngineThatIsNoLongerListed() {
        BackendServer e = engine(Optional.of("large"));
        sequences.sequenceReported(e.lifetime(), 4);
        sequences.retain(Set.of(e.lifetime()));
        assertThat(sequences.expected(e)).hasValue(4);
        sequences.retain(Set.of());
        assertThat(sequences.expected(e)).isEmpty();
    }
}
