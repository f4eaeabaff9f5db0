package org.baobabspindle.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.baobabspindle.core.time.Moment;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RequestQueueTests {
    private static final Moment START = new Moment(0, 0);
    private static final Duration TARGET = Duration.ofMillis(400);
    private static final Duration TIME_ALLOWED = Duration.ofSeconds(8);

    private final RequestQueue<Integer> line = new RequestQueue<>();

    private static Moment at(long millis) {
        return START.plus(Duration.ofMillis(millis));
    }

    private static RequestQueue.WaitLimits patience(long receivedAt) {
        return WaitingPolicy.waitLimits(at(receivedAt), TARGET, TIME_ALLOWED);
    }

    private List<Integer> take(int count, Moment now) {
        List<Integer> taken = new ArrayList<>();
        line.dispatch(r -> taken.size() < count && taken.add(r), now);
        return taken;
    }

    @Nested
    class Order {
        @Test
        void urgentRequestsGoFirst() {
            line.add(1, 2, patience(0));
            line.add(2, 1, patience(10));
            assertThat(take(2, at(20))).containsExactly(2, 1).inOrder();
        }

        @Test
        void requestsThatCanStillBeOnTimeGoBeforeThoseThatCannot() {
            line.add(1, 1, patience(0));
            line.add(2, 1, patience(300));
            assertThat(take(1, at(350))).containsExactly(2);
        }

        @Test
        void lateRequestsAreServedWhileNothingElseWaits() {
            line.add(1, 1, patience(0));
            assertThat(take(1, at(900))).containsExactly(1);
        }

        @Test
        void aRequestOfNoUseAnyMoreIsGivenUp() {
            line.add(1, 1, patience(0));
            assertThat(line.removeExpired(at(1_199))).isEmpty();
            assertThat(line.removeExpired(at(1_200))).containsExactly(1);
        }
    }

    @Nested
    class TwiceTheLoadForTenSeconds {
        private static final int SLOTS = 12;
        private static final long SLOT_MILLIS = 1_000;
        private static final long ARRIVAL_MILLIS = SLOT_MILLIS / SLOTS / 2;

        /** Requests come twice as fast as slots come free; returns how many got a slot in time to be on time. */
        private int onTime() {
            long[] freeAt = new long[SLOTS];
            int onTime = 0;
            int arrived = 0;
            for (long now = 0; now < 10_000; now++) {
                if (now % ARRIVAL_MILLIS == 0) {
                    line.add(arrived, 1, patience(now));
                    arrived++;
                }
                line.removeExpired(at(now));
                for (int i = 0; i < SLOTS; i++) {
                    if (freeAt[i] > now) {
                        continue;
                    }
                    for (int request : take(1, at(now))) {
                        freeAt[i] = now + SLOT_MILLIS;
                        boolean early = now - request * ARRIVAL_MILLIS < TARGET.toMillis() - 150;
                        onTime += early ? 1 : 0;
                    }
                }
            }
            return onTime;
        }

        @Test
        void nearlyEverySlotServesARequestOnTime() {
            int served = SLOTS * 10;
            assertThat(onTime()).isAtLeast(served * 9 / 10);
        }
    }

    @Nested
    class Prediction {
        @Test
        void aLineThatIsTooLongIsKnownAtOnce() {
            Duration wait = WaitingPolicy.predictedWait(30, 24, 8, Duration.ofSeconds(1));
            assertThat(wait).isEqualTo(Duration.ofSeconds(10));
        }

        @Test
        void withoutSlotsTheWaitIsEndless() {
            assertThat(WaitingPolicy.predictedWait(0, 0, 8, Duration.ofSeconds(1)))
                    .isGreaterThan(Duration.ofHours(1));
        }
    }
}
