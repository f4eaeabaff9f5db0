package org.baobabspindle.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.baobabspindle.core.time.Moment;
import org.junit.jupiter.api.Test;

class StallDetectorTests {
    private static final String GROUP = "g1";

    private final StallDetector detector = new StallDetector();

    private static Moment at(long millis) {
        return new Moment(0, 0).plus(Duration.ofMillis(millis));
    }

    @Test
    void suspectsAGroupWhoseRunningStreamsStall() {
        detector.requestSent(GROUP, at(0));
        detector.eventReceived(GROUP, true, at(150));
        assertThat(detector.newSuspects(at(390))).isEmpty();
        assertThat(detector.newSuspects(at(400))).containsExactly(GROUP);
    }

    @Test
    void eventOfAnyStreamPreventsSuspicion() {
        detector.requestSent(GROUP, at(0));
        detector.requestSent(GROUP, at(10));
        detector.eventReceived(GROUP, true, at(150));
        detector.eventReceived(GROUP, true, at(300));
        assertThat(detector.newSuspects(at(500))).isEmpty();
    }

    @Test
    void allowsMoreTimeBeforeTheFirstEvent() {
        detector.requestSent(GROUP, at(0));
        assertThat(detector.newSuspects(at(499))).isEmpty();
        assertThat(detector.newSuspects(at(500))).containsExactly(GROUP);
    }

    @Test
    void doesNotRepeatASuspicionWithinASecond() {
        detector.requestSent(GROUP, at(0));
        assertThat(detector.newSuspects(at(500))).containsExactly(GROUP);
        assertThat(detector.newSuspects(at(600))).isEmpty();
        assertThat(detector.newSuspects(at(1_500))).containsExactly(GROUP);
    }

    @Test
    void doesNotSuspectAGroupWithoutRequests() {
        detector.requestSent(GROUP, at(0));
        detector.eventReceived(GROUP, true, at(100));
        detector.requestEnded(GROUP, true);
        assertThat(detector.newSuspects(at(9_000))).isEmpty();
    }
}
