package org.baobabspindle.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class FleetScalingTests {
    /** The time after the recovery of the store at which the users consider an instance to be in touch with it again. */
    private static final Duration IN_TOUCH_DELAY = Duration.ofSeconds(3);

    /** The time that a call to the store may take in addition to its long poll. */
    private static final Duration STORE_CALL_TIMEOUT = Duration.ofMillis(1_500);

    /** The capacity of the store of the largest fleet, in reads per second. */
    private static final double STORE_READS_PER_SECOND = 6_000;

    /** The keepers, and as many entries that are just becoming keepers or have just ceased to be. */
    private static final int MAX_FOLLOWERS = 2 * KeeperCandidacy.MAX_KEEPERS;

    private static double readsPerSecond(FeedPoller.PollIntervals intervals) {
        return 1_000.0 / Math.max(1, intervals.minInterval().toMillis());
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 7, 64, 340})
    void unansweredReadEndsBeforeEntryCountsAsInTouchAgain(int entries) {
        Duration unansweredRead =
                FleetScaling.serverListIntervals(entries, true).longPoll().plus(STORE_CALL_TIMEOUT);
        assertThat(unansweredRead).isLessThan(IN_TOUCH_DELAY);
        assertThat(FleetScaling.serverListIntervals(entries, false).longPoll())
                .isEqualTo(unansweredRead.minus(STORE_CALL_TIMEOUT));
    }

    @Test
    void reachesAllEntriesOfSmallFleetInOneRound() {
        assertThat(FleetScaling.roundsToReachAll(1)).isEqualTo(1);
        assertThat(FleetScaling.roundsToReachAll(8)).isEqualTo(1);
        assertThat(FleetScaling.roundsToReachAll(64)).isEqualTo(8);
    }

    @Test
    void aliveTimeoutCoversMoreThanAllRounds() {
        assertThat(FleetScaling.aliveTimeout(8)).isEqualTo(Duration.ofMillis(1_200));
        assertThat(FleetScaling.aliveTimeout(64))
                .isGreaterThan(FleetScaling.EXCHANGE_INTERVAL.multipliedBy(FleetScaling.roundsToReachAll(64)));
    }

    @ParameterizedTest
    @ValueSource(ints = {7, 64, 340})
    void readsOfConstantlyChangingListTakeLessThanTenthOfStoreCapacity(int entries) {
        int followers = Math.min(MAX_FOLLOWERS, entries);
        int others = FleetScaling.readsFromFollowers(entries) ? 0 : entries - followers;
        double reads = followers * readsPerSecond(FleetScaling.serverListIntervals(entries, true))
                + others * readsPerSecond(FleetScaling.serverListIntervals(entries, false));
        assertThat(reads).isLessThan(STORE_READS_PER_SECOND / 10);
    }

    @Test
    void onlyFollowersReadConfigurationAtShortIntervalsInLargeFleet() {
        assertThat(FleetScaling.configurationIntervals(64, true))
                .isEqualTo(FleetScaling.configurationIntervals(7, false));
        assertThat(FleetScaling.configurationIntervals(64, false).longPoll())
                .isGreaterThan(FleetScaling.configurationIntervals(64, true).longPoll());
    }
}
