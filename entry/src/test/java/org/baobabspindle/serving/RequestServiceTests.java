package org.baobabspindle.serving;

import static com.google.common.truth.Truth.assertThat;

import org.baobabspindle.core.id.RequestKey;
import org.baobabspindle.core.request.Outcome;
import org.junit.jupiter.api.Test;

class RequestServiceTests {
    @Test
    void returnsUnknownForKeyWithoutTicketWhenKeyTableIsFull() {
        for (int seed = 0; seed < 20; seed++) {
            FakeCluster cluster = new FakeCluster(seed, 1, 1);
            fillKeyTable(cluster);
            assertThat(cluster.send(0, RequestKey.of("second"))).isInstanceOf(Outcome.Unknown.class);
        }
    }

    private static void fillKeyTable(FakeCluster cluster) {
        try {
            assertThat(cluster.send(0, RequestKey.of("first"))).isNotNull();
        } catch (IllegalStateException e) {
            assertThat(e).hasMessageThat().isEqualTo("the entry failed");
        }
    }
}
