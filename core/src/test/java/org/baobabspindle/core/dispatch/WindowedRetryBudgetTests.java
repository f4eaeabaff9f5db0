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
    void allEntriesTogetherStayWithinTheBurstWithoutCommunication() {
        int retries = 0;
        for (int entry = 0; entry < ENTRIES; entry++) {
            WindowedRetryBudget budget = new WindowedRetryBudget(0.2, BURST, Duration.ofSeconds(10));
            for (int i = 0; i < 1_000; i++) {
                retries += budget.tryAcquire(ENTRIES, at(i)) ? 1 : 0;
            }
        }
        assertThat(retries).isAtMost((int) BURST);
    }

    @Test
    void allowsRetriesInProportionToRequests() {
        WindowedRetryBudget budget = new WindowedRetryBudget(0.2, 0, Duration.ofSeconds(10));
        for (int i = 0; i < 10; i++) {
            budget.recordRequest(at(i));
        }
        assertThat(budget.tryAcquire(1, at(20))).isTrue();
        assertThat(budget.tryAcquire(1, at(20))).isTrue();
        assertThat(budget.tryAcquire(1, at(20))).isFalse();
    }

    @Test
    void retriesExpireAtTheEndOfTheWindow() {
        WindowedRetryBudget budget = new WindowedRetryBudget(0, 1, Duration.ofSeconds(10));
        assertThat(budget.tryAcquire(1, at(0))).isTrue();
        assertThat(budget.tryAcquire(1, at(9_999))).isFalse();
        assertThat(budget.tryAcquire(1, at(10_001))).isTrue();
    }
}
