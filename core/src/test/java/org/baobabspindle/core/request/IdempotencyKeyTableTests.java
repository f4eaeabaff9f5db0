package org.baobabspindle.core.request;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.baobabspindle.core.id.ClientAccountId;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.RequestKey;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class IdempotencyKeyTableTests {
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final ClientAccountId ACCOUNT = ClientAccountId.of("dealers");
    private static final RequestKey KEY = RequestKey.of("k");

    private final IdempotencyKeyTable table = new IdempotencyKeyTable(2, 10, Duration.ofHours(2));

    private IdempotencyKeyTable.Decision begin(Instant now, String key) {
        return table.begin(now, ACCOUNT, RequestKey.of(key), "f");
    }

    private void finish(String key, Settlement settlement, String answer) {
        Optional<StoredAnswer> stored = answer.isEmpty()
                ? Optional.empty()
                : Optional.of(StoredAnswer.of(200, "text/plain", answer.getBytes(StandardCharsets.UTF_8)));
        table.finish(ACCOUNT, RequestKey.of(key), settlement, stored);
    }

    @Nested
    class NewKey {
        @Test
        void runsOnceAndThenReturnsTheStoredAnswer() {
            assertThat(begin(NOW, "k")).isInstanceOf(IdempotencyKeyTable.Decision.Run.class);
            assertThat(begin(NOW, "k")).isInstanceOf(IdempotencyKeyTable.Decision.Running.class);
            finish("k", Settlement.COMPLETED, "done");
            assertThat(begin(NOW, "k")).isInstanceOf(IdempotencyKeyTable.Decision.Answered.class);
        }

        @Test
        void runsAgainAfterNotRun() {
            begin(NOW, "k");
            finish("k", Settlement.NOT_RUN, "");
            assertThat(begin(NOW, "k")).isInstanceOf(IdempotencyKeyTable.Decision.Run.class);
        }

        @Test
        void neverRunsAgainAfterAnUnknownSettlement() {
            begin(NOW, "k");
            finish("k", Settlement.UNKNOWN, "");
            assertThat(begin(NOW, "k")).isInstanceOf(IdempotencyKeyTable.Decision.Unanswered.class);
        }

        @Test
        void isRejectedForDifferentContent() {
            begin(NOW, "k");
            assertThat(table.begin(NOW, ACCOUNT, KEY, "other"))
                    .isInstanceOf(IdempotencyKeyTable.Decision.Mismatch.class);
        }
    }

    @Nested
    class FullTable {
        @Test
        void acceptsNoNewKeyUntilAnotherExpires() {
            begin(NOW, "a");
            begin(NOW, "b");
            finish("a", Settlement.COMPLETED, "");
            assertThat(begin(NOW, "c")).isInstanceOf(IdempotencyKeyTable.Decision.Full.class);
            assertThat(begin(NOW.plus(Duration.ofHours(2)), "c")).isInstanceOf(IdempotencyKeyTable.Decision.Run.class);
        }

        @Test
        void dropsOldestAnswersButRetainsTheirKeys() {
            begin(NOW, "a");
            finish("a", Settlement.COMPLETED, "12345678");
            begin(NOW, "b");
            finish("b", Settlement.COMPLETED, "12345678");
            assertThat(begin(NOW, "a")).isInstanceOf(IdempotencyKeyTable.Decision.Unanswered.class);
            assertThat(begin(NOW, "b")).isInstanceOf(IdempotencyKeyTable.Decision.Answered.class);
        }
    }

    @Test
    void retainsAKeyWhileItsRequestRuns() {
        begin(NOW, "k");
        assertThat(begin(NOW.plus(Duration.ofDays(1)), "k")).isInstanceOf(IdempotencyKeyTable.Decision.Running.class);
    }

    @Test
    void doesNotResumeAKeyThatIsNoLongerRetained() {
        assertThat(table.resume(NOW, ACCOUNT, KEY, "f")).isInstanceOf(IdempotencyKeyTable.Decision.Unanswered.class);
    }

    @Nested
    class TicketOfAKey {
        private final Incarnation home = Incarnation.of("e1", 7);

        @Test
        void isParsedFromAKey() {
            Ticket ticket = new Ticket(home, NOW);
            assertThat(Ticket.of(RequestKey.of(ticket.prefix() + "order-1"))).hasValue(ticket);
        }

        @Test
        void expiresBeforeItsKeysAreRemovedWhateverTheClockOfTheIssuer() {
            for (Duration offset = Duration.ofHours(-2); offset.toHours() <= 2; offset = offset.plusMinutes(10)) {
                Ticket ticket = new Ticket(home, NOW.plus(offset));
                boolean usable = !ticket.isExpired(NOW);
                boolean usableAfterRetention = !ticket.isExpired(NOW.plus(Ticket.KEY_RETENTION));
                assertThat(usable && usableAfterRetention).isFalse();
            }
        }

        @Test
        void isAbsentFromMalformedKeys() {
            assertThat(Ticket.of(RequestKey.of("bs1:"))).isEmpty();
            assertThat(Ticket.of(RequestKey.of("bs1:e1~x:1:k"))).isEmpty();
            assertThat(Ticket.of(RequestKey.of("bs1:e1~1:zzzzzzzzzzzzzzz:k"))).isEmpty();
            assertThat(Ticket.of(RequestKey.of("order-1"))).isEmpty();
        }
    }
}
