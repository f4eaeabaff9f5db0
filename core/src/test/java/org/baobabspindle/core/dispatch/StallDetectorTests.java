package org.baobabspindle.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.baobabspindle.core.time.Moment;
import org.junit.jupiter.api.Test;

class StallDetectorTests {
    private static final String GROUP = "g1";

    private final StallDetector watch = new StallDetector();

    private static Moment at(long millis) {
        return new Moment(0, 0).plus(Duration.ofMillis(millis));
    }

    @Test
    void aGroupWhoseRunningStreamsFallSilentIsDoubted() {
        watch.requestSent(GROUP, at(0));
        watch.eventReceived(GROUP, true, at(150));
        assertThat(watch.newSuspects(at(390))).isEmpty();
        assertThat(watch.newSuspects(at(400))).containsExactly(GROUP);
    }

    @Test
    void oneEventOfAnyStreamIsASignOfLife() {
        watch.requestSent(GROUP, at(0));
        watch.requestSent(GROUP, at(10));
        watch.eventReceived(GROUP, true, at(150));
        watch.eventReceived(GROUP, true, at(300));
        assertThat(watch.newSuspects(at(500))).isEmpty();
    }

    @Test
    void aGroupThatReadsAPromptGetsMoreTime() {
        watch.requestSent(GROUP, at(0));
        assertThat(watch.newSuspects(at(499))).isEmpty();
        assertThat(watch.newSuspects(at(500))).containsExactly(GROUP);
    }

    @Test
    void aDoubtIsNotRaisedAgainAtOnce() {
        watch.requestSent(GROUP, at(0));
        assertThat(watch.newSuspects(at(500))).containsExactly(GROUP);
        assertThat(watch.newSuspects(at(600))).isEmpty();
        assertThat(watch.newSuspects(at(1_500))).containsExactly(GROUP);
    }

    @Test
    void aGroupWithoutRequestsIsNotDoubted() {
        watch.requestSent(GROUP, at(0));
        watch.eventReceived(GROUP, true, at(100));
        watch.requestEnded(GROUP, true);
        assertThat(watch.newSuspects(at(9_000))).isEmpty();
    }
}
