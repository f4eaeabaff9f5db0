package org.baobabspindle.gateway;

import java.time.Duration;
import org.baobabspindle.port.Feed;

/**
 * Scales the traffic of an entry to other entries and to the store with the number of entries. The traffic of one entry
 * does not grow with the fleet, and all entries together stay within the capacity of the store: in a large fleet, a few
 * entries (readers) read the store at short intervals, the keepers read from these, and the others from the keepers.
 */
final class FleetScaling {
    /**
     * The interval of the state exchange, which carries the loads of entries; a fraction of the time of a short
     * request.
     */
    static final Duration EXCHANGE_INTERVAL = Duration.ofMillis(200);

    /**
     * The peers queried in one round. Twice as many states arrive, because each query carries the state of its sender.
     */
    static final int PEERS_PER_ROUND = 8;

    /**
     * The targets that an entry compares for a request where the load counts of peers are old. If it compared all of
     * them, the entries would send to the same ones (TargetChooserTests).
     */
    private static final int SAMPLED_TARGETS = 2;

    /** The largest fleet in which every entry reads the store itself; equal to the number of lease partitions. */
    private static final int SMALL_FLEET_MAX_ENTRIES = 16;

    /**
     * How long an entry may be unresponsive before its address is no longer given to callers, in a fleet whose entries
     * query all others in each round; several exchanges in a row have failed by then.
     */
    private static final Duration BASE_ALIVE_TIMEOUT = Duration.ofMillis(1_200);

    /**
     * The long poll of the server list. A read that is not answered ends within three seconds, the timeout of the store
     * call included, since servers may leave the list in the meantime.
     */
    private static final Duration SERVERS_LONG_POLL = Duration.ofMillis(1_200);

    private static final Duration CONFIGURATION_LONG_POLL = Duration.ofMillis(1_500);
    private static final Duration ENTRIES_LONG_POLL = Duration.ofSeconds(15);

    /**
     * The long poll of the configuration and the server list in a large fleet. Over two levels of entries, a page of this
     * age is still younger than {@link #MAX_SERVED_AGE} at all entries while nothing changes.
     */
    private static final Duration READER_LONG_POLL = Duration.ofMillis(500);

    private static final Duration READER_ENTRIES_LONG_POLL = Duration.ofSeconds(5);

    /** The maximum age of a page that an entry serves, counted from the read of the store. */
    private static final Duration MAX_SERVED_AGE = Duration.ofMillis(1_600);

    /**
     * The age of the proof at which a keeper reads the store itself. It is above the age of a page that a keeper has just
     * read from a reader, and keepers come first, since the others read from them.
     */
    private static final Duration KEEPER_FALLBACK_AGE = Duration.ofSeconds(1);

    private static final Duration KEEPER_FALLBACK_SPREAD = Duration.ofMillis(200);

    /**
     * The age of the proof at which an entry that is no keeper reads the store itself. With the spread, the interval of
     * reads and two reads that time out, it ends within three seconds, when a change must be in force.
     */
    private static final Duration FALLBACK_AGE = Duration.ofMillis(1_500);

    private static final Duration FALLBACK_SPREAD = Duration.ofMillis(300);

    /** The factor of these ages for the feed of entries, which changes rarely and has no bound. */
    private static final int ENTRIES_AGE_FACTOR = 8;

    private FleetScaling() {}

    /** Returns the number of rounds in which every other entry is queried once. */
    static int roundsToReachAll(int entries) {
        return Math.max(1, (entries - 1 + PEERS_PER_ROUND - 1) / PEERS_PER_ROUND);
    }

    /** Returns the time after its last response at which an entry no longer counts as alive. */
    static Duration aliveTimeout(int entries) {
        return BASE_ALIVE_TIMEOUT.plus(EXCHANGE_INTERVAL.multipliedBy(roundsToReachAll(entries) - 1L));
    }

    /** Returns how many targets an entry compares for a request; all in a small fleet, where load counts are recent. */
    static int targetChoices(int entries) {
        return entries > SMALL_FLEET_MAX_ENTRIES ? SAMPLED_TARGETS : Integer.MAX_VALUE;
    }

    /**
     * Returns how many targets an entry compares for a request that is placed by prompt tokens. Prompts are read within
     * a few intervals of the state exchange, so that counts are old in small fleets too (TokenPlacementTests).
     */
    static int targetChoicesByTokens(int entries) {
        return entries > 1 ? SAMPLED_TARGETS : Integer.MAX_VALUE;
    }

    /** Returns whether only a few entries read the store at short intervals, and the others read from these. */
    static boolean readsFromFollowers(int entries) {
        return entries > SMALL_FLEET_MAX_ENTRIES;
    }

    /**
     * Returns the intervals at which a feed is read.
     *
     * @param feed the feed
     * @param entries the number of entries
     * @param level where the feed is read; always the store in a small fleet
     */
    static FeedPoller.PollIntervals intervals(Feed feed, int entries, ReadLevel level) {
        return new FeedPoller.PollIntervals(longPoll(feed, readsFromFollowers(entries)), minInterval(feed, level));
    }

    private static Duration longPoll(Feed feed, boolean large) {
        return switch (feed) {
            case CONFIGURATION -> large ? READER_LONG_POLL : CONFIGURATION_LONG_POLL;
            case BACKEND_SERVERS -> large ? READER_LONG_POLL : SERVERS_LONG_POLL;
            case ENTRIES -> large ? READER_ENTRIES_LONG_POLL : ENTRIES_LONG_POLL;
        };
    }

    /** Returns the minimum time between two reads. Reads from other entries do not wait there for records. */
    private static Duration minInterval(Feed feed, ReadLevel level) {
        return Duration.ofMillis(
                switch (feed) {
                    case CONFIGURATION -> level == ReadLevel.STORE ? 100 : level == ReadLevel.READERS ? 250 : 400;
                    case BACKEND_SERVERS -> level == ReadLevel.FOLLOWERS ? 250 : 150;
                    case ENTRIES -> level == ReadLevel.STORE ? 300 : level == ReadLevel.READERS ? 500 : 1_000;
                });
    }

    /** Returns the maximum age of a page that an entry serves to others. */
    static Duration maxServedAge(Feed feed) {
        return MAX_SERVED_AGE.multipliedBy(factor(feed));
    }

    /**
     * Returns the age of the proof of a feed at which an entry reads the store itself.
     *
     * @param feed the feed
     * @param level where the entry reads the feed otherwise
     * @param spread a random number from 0 to 1, so that not all entries read the store at once
     */
    static Duration fallbackAge(Feed feed, ReadLevel level, double spread) {
        boolean keeper = level != ReadLevel.FOLLOWERS;
        Duration age = keeper ? KEEPER_FALLBACK_AGE : FALLBACK_AGE;
        Duration width = keeper ? KEEPER_FALLBACK_SPREAD : FALLBACK_SPREAD;
        return age.plusMillis(Math.round(spread * width.toMillis())).multipliedBy(factor(feed));
    }

    private static int factor(Feed feed) {
        return feed == Feed.ENTRIES ? ENTRIES_AGE_FACTOR : 1;
    }
}
