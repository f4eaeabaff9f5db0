package org.baobabspindle.core.formation;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.baobabspindle.core.time.Moment;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** After a large loss each keeper has groups to load at the same time, before it knows what the others load. */
class WeightLoadLimiterTests {
    private static final Duration WINDOW = Duration.ofSeconds(5);
    private static final double FACTOR = 1.1;

    private static Moment at(long millis) {
        return new Moment(0, 0).plus(Duration.ofMillis(millis));
    }

    /**
     * Lets each keeper start all loads that it may for one minute; returns the keeper's rank and the time of each load.
     */
    private static List<long[]> loadsOfAMinute(double perSecond, int keepers, int largestGroup) {
        List<WeightLoadLimiter> limiters = new ArrayList<>();
        for (int i = 0; i < keepers; i++) {
            limiters.add(new WeightLoadLimiter(WINDOW, FACTOR));
        }
        List<long[]> loads = new ArrayList<>();
        for (long t = 0; t < 60_000; t += 100) {
            for (int rank = 0; rank < keepers; rank++) {
                WeightLoadLimiter.Share share = new WeightLoadLimiter.Share(rank, keepers);
                int allowed = limiters.get(rank).allowed(perSecond, share, largestGroup, at(t));
                limiters.get(rank).recordStarted(allowed, at(t));
                for (int i = 0; i < allowed; i++) {
                    loads.add(new long[] {rank, t});
                }
            }
        }
        return loads;
    }

    @ParameterizedTest
    @CsvSource({"5, 7, 4", "5, 8, 4", "5.5, 7, 6", "5.5, 8, 6", "14, 8, 8", "63, 8, 8", "1, 8, 12", "0.2, 8, 4"})
    void keepersThatLoadConcurrentlyStayWithinRate(double perSecond, int keepers, int largestGroup) {
        List<long[]> loads = loadsOfAMinute(perSecond, keepers, largestGroup);
        long max = 0;
        for (long[] first : loads) {
            long inWindow = loads.stream()
                    .filter(l -> l[1] >= first[1] && l[1] < first[1] + WINDOW.toMillis())
                    .count();
            max = Math.max(max, inWindow);
        }
        assertThat(max).isAtMost((long) Math.floor(perSecond * WINDOW.toSeconds() * FACTOR) + 3);
        assertThat(loads.stream().map(l -> l[0]).distinct().count()).isEqualTo(keepers);
    }

    @Test
    void singleKeeperGetsWholeRate() {
        WeightLoadLimiter limiter = new WeightLoadLimiter(WINDOW, FACTOR);
        assertThat(limiter.allowed(5, new WeightLoadLimiter.Share(0, 1), 4, at(0)))
                .isEqualTo(27);
    }

    @Test
    void eachKeeperMayLoadItsLargestGroupAtOnceInSomeSlot() {
        for (int rank = 0; rank < 8; rank++) {
            WeightLoadLimiter limiter = new WeightLoadLimiter(WINDOW, FACTOR);
            int max = 0;
            for (int slot = 0; slot < 8; slot++) {
                WeightLoadLimiter.Share share = new WeightLoadLimiter.Share(rank, 8);
                max = Math.max(max, limiter.allowed(5, share, 4, at(slot * WINDOW.toMillis())));
            }
            assertThat(max).isEqualTo(4);
        }
    }

    @Test
    void allowsLoadsAgainAfterWindow() {
        WeightLoadLimiter limiter = new WeightLoadLimiter(WINDOW, FACTOR);
        limiter.recordStarted(27, at(0));
        assertThat(limiter.allowed(5, new WeightLoadLimiter.Share(0, 1), 4, at(5_000)))
                .isEqualTo(0);
        assertThat(limiter.allowed(5, new WeightLoadLimiter.Share(0, 1), 4, at(5_001)))
                .isEqualTo(27);
    }
}
