package org.baobabspindle.core.time;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class MomentTests {
    private static final long SECOND_NANOS = 1_000_000_000L;

    @Test
    void usesTheWallClockAfterASuspension() {
        assertThat(new Moment(SECOND_NANOS, 9_000).since(new Moment(0, 0))).isEqualTo(Duration.ofSeconds(9));
    }

    @Test
    void usesTheMonotonicClockAfterTheWallClockJumpsBack() {
        assertThat(new Moment(3 * SECOND_NANOS, -5_000).since(new Moment(0, 0))).isEqualTo(Duration.ofSeconds(3));
    }

    @Test
    void elapsedTimeIsNeverNegative() {
        assertThat(new Moment(0, 0).since(new Moment(SECOND_NANOS, 1_000))).isEqualTo(Duration.ZERO);
    }
}
