package org.baobabspindle.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class FleetScalingTests {
    /** An instance counts as in touch this long after the store answers it again. */
    private static final Duration IN_TOUCH_AFTER = Duration.ofSeconds(3);

    /** The time that a call of the store may take beyond the wait that it asks for. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(1_500);

    /** What the store of the largest fleet bears, in reads a second. */
    private static final double READS_PER_SECOND = 6_000;

    /** Keepers, and as many that have just become or ceased to be some. */
    private static final int READERS = 2 * KeeperCandidacy.MAX_KEEPERS;

    private static double readsPerSecond(FeedPoller.PollIntervals pace) {
        return 1_000.0 / Math.max(1, pace.minInterval().toMillis());
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 7, 64, 340})
    void aReadWithoutAnAnswerIsOverBeforeTheEntryCountsAsInTouchAgain(int entries) {
        Duration blind =
                FleetScaling.serverListIntervals(entries, true).longPoll().plus(ANSWER_TIMEOUT);
        assertThat(blind).isLessThan(IN_TOUCH_AFTER);
        assertThat(FleetScaling.serverListIntervals(entries, false).longPoll()).isEqualTo(blind.minus(ANSWER_TIMEOUT));
    }

    @Test
    void everyEntryOfASmallFleetAsksAllOthersInEachRound() {
        assertThat(FleetScaling.roundsToReachAll(1)).isEqualTo(1);
        assertThat(FleetScaling.roundsToReachAll(8)).isEqualTo(1);
        assertThat(FleetScaling.roundsToReachAll(64)).isEqualTo(8);
    }

    @Test
    void anEntryCountsAsAliveUntilItCouldBeAskedSeveralTimes() {
        assertThat(FleetScaling.aliveTimeout(8)).isEqualTo(Duration.ofMillis(1_200));
        assertThat(FleetScaling.aliveTimeout(64))
                .isGreaterThan(FleetScaling.EXCHANGE_INTERVAL.multipliedBy(FleetScaling.roundsToReachAll(64)));
    }

    @ParameterizedTest
    @ValueSource(ints = {7, 64, 340})
    void readsOfAListThatChangesAllTheTimeStayWithinATenthOfTheStore(int entries) {
        int readers = Math.min(READERS, entries);
        int others = FleetScaling.readsFromFollowers(entries) ? 0 : entries - readers;
        double reads = readers * readsPerSecond(FleetScaling.serverListIntervals(entries, true))
                + others * readsPerSecond(FleetScaling.serverListIntervals(entries, false));
        assertThat(reads).isLessThan(READS_PER_SECOND / 10);
    }

    @Test
    void onlyAReaderProvesTheConfigurationAtShortIntervalsInALargeFleet() {
        assertThat(FleetScaling.configurationIntervals(64, true))
                .isEqualTo(FleetScaling.configurationIntervals(7, false));
        assertThat(FleetScaling.configurationIntervals(64, false).longPoll())
                .isGreaterThan(FleetScaling.configurationIntervals(64, true).longPoll());
    }
}
