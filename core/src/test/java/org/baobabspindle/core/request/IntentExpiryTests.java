package org.baobabspindle.core.request;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.baobabspindle.core.id.LogOffset;
import org.baobabspindle.core.log.IntentsExpired;
import org.junit.jupiter.api.Test;

class IntentExpiryTests {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private final IntentExpiry expiry = new IntentExpiry();

    @Test
    void expiresIntentsAtTheEndOfTheirLifetime() {
        assertThat(expiry.poll(START, LogOffset.of(7))).isEmpty();
        Instant later = START.plus(Duration.ofHours(1));
        assertThat(expiry.poll(later, LogOffset.of(9))).isEmpty();
        assertThat(expiry.poll(START.plus(IntentExpiry.LIFETIME).minusMillis(1), LogOffset.of(11)))
                .isEmpty();
        assertThat(expiry.poll(START.plus(IntentExpiry.LIFETIME), LogOffset.of(11)))
                .hasValue(new IntentsExpired(LogOffset.of(6)));
        assertThat(expiry.poll(later.plus(IntentExpiry.LIFETIME), LogOffset.of(11)))
                .hasValue(new IntentsExpired(LogOffset.of(8)));
    }

    @Test
    void expiresNothingFromAnEmptyLog() {
        expiry.poll(START, LogOffset.of(0));
        assertThat(expiry.poll(START.plus(IntentExpiry.LIFETIME), LogOffset.of(0)))
                .isEmpty();
    }
}
