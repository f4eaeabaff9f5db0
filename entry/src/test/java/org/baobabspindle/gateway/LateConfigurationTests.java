package org.baobabspindle.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Replays how 58 entries with links of 14 Mbit/s learn of configurations in quick succession, in simulated time and without
 * a network. Guards against versions that are late where configurations are long, and where readers are lost, cut off or slow.
 */
class LateConfigurationTests {
    private static final int ENTRIES = 58;
    private static final double LINK_MEGABITS = 14;

    /** The time after its acknowledgement by which an entry that is in touch must follow a version. */
    private static final Duration BOUND = Duration.ofSeconds(3);

    /** How long an entry must run and reach the store so that the bound holds for it. */
    private static final Duration IN_TOUCH_AFTER = Duration.ofSeconds(4);

    private static final int FEW_ROUTES = 40;
    private static final int MANY_ROUTES = 1_400;
    private static final long STORM_BEGIN = 15_000;
    private static final long STORM_INTERVAL = 330;
    private static final int STORM_CHANGES = 12;
    private static final long END = STORM_BEGIN + 12_000;

    /** A share of the interval between changes. */
    private static final long SAMPLE_INTERVAL = 20;

    private final SimulatedConfigurations configurations = new SimulatedConfigurations();
    private final List<Long> oldestMissing = new ArrayList<>();
    private final TreeMap<Integer, Long> firstFollowed = new TreeMap<>();
    private final TreeMap<Integer, Long> lastFollowed = new TreeMap<>();

    /** What happens to the readers just before the changes begin, until the end. */
    private enum Trouble {
        NONE,
        READERS_LOST,
        READERS_CUT_FROM_STORE,
        READERS_CUT_FROM_HALF,
        READERS_SLOW,
        KEEPERS_SLOW;

        void apply(StoreReplay f) {
            switch (this) {
                case NONE -> {}
                case READERS_LOST -> f.readers().forEach(e -> e.frozenUntil = Long.MAX_VALUE);
                case READERS_CUT_FROM_STORE -> f.readers().forEach(e -> e.cutFromStore(true));
                case READERS_CUT_FROM_HALF -> f.readers().forEach(e -> f.cutFromHalf(e, true));
                case READERS_SLOW -> f.readers().forEach(e -> f.links.setCapacity(e, LINK_MEGABITS / 10));
                case KEEPERS_SLOW -> f.keepers().forEach(e -> f.links.setCapacity(e, LINK_MEGABITS / 10));
            }
        }

        /** Returns whether the bound holds for an entry: not if its own link is squeezed. */
        boolean bounds(StoreReplay f, StoreReplay.Entry e) {
            return switch (this) {
                case READERS_SLOW -> !f.readers().contains(e);
                case KEEPERS_SLOW -> !f.keepers().contains(e);
                default -> true;
            };
        }
    }

    private StoreReplay replay(int routes, Trouble trouble, long seed) {
        configurations.write(0, FEW_ROUTES);
        if (routes > FEW_ROUTES) {
            configurations.write(STORM_BEGIN - 2 * STORM_INTERVAL, routes);
        }
        for (int i = 0; i < STORM_CHANGES; i++) {
            configurations.write(STORM_BEGIN + i * STORM_INTERVAL, routes);
        }
        StoreReplay fleet = new StoreReplay(ENTRIES, seed, LINK_MEGABITS, configurations);
        fleet.time.at(STORM_BEGIN - 3 * STORM_INTERVAL, () -> trouble.apply(fleet));
        long[] bytesBefore = new long[1];
        fleet.time.at(STORM_BEGIN - 3 * STORM_INTERVAL, () -> bytesBefore[0] = fleet.links.bytesBetweenEntries());
        for (long t = STORM_BEGIN - 2 * STORM_INTERVAL; t < END; t += SAMPLE_INTERVAL) {
            fleet.time.at(t, () -> sample(fleet, trouble));
        }
        fleet.time.run(END);
        System.getLogger(LateConfigurationTests.class.getName())
                .log(
                        System.Logger.Level.INFO,
                        "{0} routes, {1}: at most {2} ms late, uneven {3} ms, {4} KB between entries, {5} decoded, calls {6}",
                        routes,
                        trouble,
                        maxLateness(),
                        unevenness(),
                        (fleet.links.bytesBetweenEntries() - bytesBefore[0]) / 1_000,
                        configurations.decoded(),
                        fleet.calls);
        return fleet;
    }

    /** Records the age of the oldest version that an entry lacks, and when versions are first and last followed. */
    private void sample(StoreReplay fleet, Trouble trouble) {
        long now = fleet.time.millis();
        int oldest = Integer.MAX_VALUE;
        for (StoreReplay.Entry e : fleet.running()) {
            if (now - e.inTouchSince() < IN_TOUCH_AFTER.toMillis() || !trouble.bounds(fleet, e)) {
                continue;
            }
            int next = (int) e.fleet.version() + 1;
            oldest = Math.min(oldest, next - 1);
            for (int v = next - 1; v >= 0 && !firstFollowed.containsKey(v); v--) {
                firstFollowed.put(v, now);
            }
            if (next < configurations.count(now)) {
                oldestMissing.add(now - configurations.versions().get(next).at());
            }
        }
        for (int v = 0; v <= oldest && v < configurations.versions().size(); v++) {
            lastFollowed.putIfAbsent(v, now);
        }
    }

    private long maxLateness() {
        return oldestMissing.stream().max(Long::compare).orElse(0L);
    }

    /** Returns for each version the time from the first to the last entry that follows it or a later one. */
    private List<Long> unevenness() {
        List<Long> result = new ArrayList<>();
        firstFollowed.forEach((v, at) -> result.add(lastFollowed.getOrDefault(v, END) - at));
        return result;
    }

    private void assertInForceInTime(StoreReplay fleet, Trouble trouble) {
        assertWithMessage("versions are late by, in ms").that(maxLateness()).isLessThan(BOUND.toMillis());
        int last = configurations.versions().size() - 1;
        for (StoreReplay.Entry e : fleet.running()) {
            if (trouble.bounds(fleet, e)) {
                assertThat(e.fleet.version()).isEqualTo(last);
            }
        }
    }

    @ParameterizedTest
    @EnumSource
    void shortVersionsInQuickSuccessionAreInForceInTime(Trouble trouble) {
        assertInForceInTime(replay(FEW_ROUTES, trouble, 1), trouble);
    }

    @ParameterizedTest
    @EnumSource
    void longVersionsInQuickSuccessionAreInForceInTime(Trouble trouble) {
        assertInForceInTime(replay(MANY_ROUTES, trouble, 1), trouble);
    }

    /** An entry that reads the store itself gets all versions since its last read, which fill its link. */
    @ParameterizedTest
    @CsvSource({"READERS_SLOW, 2", "READERS_CUT_FROM_STORE, 3", "READERS_CUT_FROM_STORE, 4"})
    void longVersionsAreInForceInTimeWhileEntriesReadTheStoreThemselves(Trouble trouble, long seed) {
        assertInForceInTime(replay(MANY_ROUTES, trouble, seed), trouble);
    }

    /** Decoding competes with requests for the processor. */
    @Test
    void entriesDecodeEachVersionOnce() {
        replay(FEW_ROUTES, Trouble.NONE, 1);
        assertThat(configurations.decoded())
                .isAtMost(ENTRIES * configurations.versions().size());
    }
}
