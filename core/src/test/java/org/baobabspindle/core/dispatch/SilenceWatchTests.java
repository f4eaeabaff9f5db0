package org.baobabspindle.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.baobabspindle.core.time.Moment;
import org.junit.jupiter.api.Test;

class SilenceWatchTests {
    private static final String GROUP = "g1";

    private final SilenceWatch watch = new SilenceWatch();

    private static Moment at(long millis) {
        return new Moment(0, 0).plus(Duration.ofMillis(millis));
    }

    @Test
    void aGroupWhoseRunningStreamsFallSilentIsDoubted() {
        watch.sent(GROUP, at(0));
        watch.event(GROUP, true, at(150));
        assertThat(watch.doubts(at(390))).isEmpty();
        assertThat(watch.doubts(at(400))).containsExactly(GROUP);
    }

    @Test
    void oneEventOfAnyStreamIsASignOfLife() {
        watch.sent(GROUP, at(0));
        watch.sent(GROUP, at(10));
        watch.event(GROUP, true, at(150));
        watch.event(GROUP, true, at(300));
        assertThat(watch.doubts(at(500))).isEmpty();
    }

    @Test
    void aGroupThatReadsAPromptGetsMoreTime() {
        watch.sent(GROUP, at(0));
        assertThat(watch.doubts(at(499))).isEmpty();
        assertThat(watch.doubts(at(500))).containsExactly(GROUP);
    }

    @Test
    void aDoubtIsNotRaisedAgainAtOnce() {
        watch.sent(GROUP, at(0));
        assertThat(watch.doubts(at(500))).containsExactly(GROUP);
        assertThat(watch.doubts(at(600))).isEmpty();
        assertThat(watch.doubts(at(1_500))).containsExactly(GROUP);
    }

    @Test
    void aGroupWithoutRequestsIsNotDoubted() {
        watch.sent(GROUP, at(0));
        watch.event(GROUP, true, at(100));
        watch.ended(GROUP, true);
        assertThat(watch.doubts(at(9_000))).isEmpty();
    }
}
