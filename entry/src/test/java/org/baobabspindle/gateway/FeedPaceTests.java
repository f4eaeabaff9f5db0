package org.baobabspindle.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class FeedPaceTests {
    /** An instance counts as in touch this long after the store answers it again. */
    private static final Duration IN_TOUCH_AFTER = Duration.ofSeconds(3);

    /** The time that a call of the store may take beyond the wait that it asks for. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(1_500);

    @Test
    void aReadWithoutAnAnswerIsOverBeforeTheEntryCountsAsInTouchAgain() {
        Duration blind = GatewayNode.SERVERS_PACE.longPoll().plus(ANSWER_TIMEOUT);
        assertThat(blind).isLessThan(IN_TOUCH_AFTER);
    }
}
