package org.baobabspindle.core.time;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class MomentTests {
    private static final long SECOND = 1_000_000_000L;

    @Test
    void aSuspendedInstanceSeesTheAgeOfItsWallClock() {
        assertThat(new Moment(SECOND, 9_000).since(new Moment(0, 0))).isEqualTo(Duration.ofSeconds(9));
    }

    @Test
    void aWallClockThatJumpsBackDoesNotHideAnAge() {
        assertThat(new Moment(3 * SECOND, -5_000).since(new Moment(0, 0))).isEqualTo(Duration.ofSeconds(3));
    }

    @Test
    void anAgeIsNeverNegative() {
        assertThat(new Moment(0, 0).since(new Moment(SECOND, 1_000))).isEqualTo(Duration.ZERO);
    }
}
