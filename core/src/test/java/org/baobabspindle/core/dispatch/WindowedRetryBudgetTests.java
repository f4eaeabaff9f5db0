package org.baobabspindle.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.baobabspindle.core.time.Moment;
import org.junit.jupiter.api.Test;

class WindowedRetryBudgetTests {
    private static final int ENTRIES = 8;
    private static final double BURST = 107;

    private static Moment at(long millis) {
        return new Moment(0, 0).plus(Duration.ofMillis(millis));
    }

    @Test
    void allEntriesTogetherStayWithinTheBurstWhileTheyCannotHearEachOther() {
        int retries = 0;
        for (int entry = 0; entry < ENTRIES; entry++) {
            WindowedRetryBudget window = new WindowedRetryBudget(0.2, BURST, Duration.ofSeconds(10));
            for (int i = 0; i < 1_000; i++) {
                retries += window.tryAcquire(ENTRIES, at(i)) ? 1 : 0;
            }
        }
        assertThat(retries).isAtMost((int) BURST);
    }

    @Test
    void requestsAllowRetriesByTheRatio() {
        WindowedRetryBudget window = new WindowedRetryBudget(0.2, 0, Duration.ofSeconds(10));
        for (int i = 0; i < 10; i++) {
            window.recordRequest(at(i));
        }
        assertThat(window.tryAcquire(1, at(20))).isTrue();
        assertThat(window.tryAcquire(1, at(20))).isTrue();
        assertThat(window.tryAcquire(1, at(20))).isFalse();
    }

    @Test
    void aSlidingWindowForgetsOldRetries() {
        WindowedRetryBudget window = new WindowedRetryBudget(0, 1, Duration.ofSeconds(10));
        assertThat(window.tryAcquire(1, at(0))).isTrue();
        assertThat(window.tryAcquire(1, at(9_999))).isFalse();
        assertThat(window.tryAcquire(1, at(10_001))).isTrue();
    }
}
