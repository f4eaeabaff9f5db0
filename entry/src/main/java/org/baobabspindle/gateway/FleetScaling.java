package org.baobabspindle.gateway;

import java.time.Duration;

/**
 * How often an entry asks the other entries and the store, by how many entries there are. What one entry does stays the same
 * in a large fleet, and all entries together stay within what the store bears: a few of them read it at short intervals, and
 * the others hear from those whether their configuration is still the newest.
 */
final class FleetScaling {
    /** How often entries tell each other their loads; a fraction of the time of a short request. */
    static final Duration EXCHANGE_INTERVAL = Duration.ofMillis(200);

    /** The entries asked in one round; twice as many are heard, because each question tells the asker's state. */
    static final int PEERS_PER_ROUND = 8;

    /** The targets compared where counts are old; with all of them, entries send to the same ones (TargetChooserTests). */
    private static final int SAMPLED_TARGETS = 2;

    /** The entries up to which each one reads the store for itself; as many as there are partitions of the keepers' work. */
    private static final int SMALL_FLEET_MAX_ENTRIES = 16;

    /** An entry that has not answered for this long is not told to callers; several pulses in a row were lost. */
    private static final Duration BASE_ALIVE_TIMEOUT = Duration.ofMillis(1_200);

    /** A read that the store leaves unanswered is over with its time-out within three seconds; servers leave in between. */
    private static final Duration SERVERS_LONG_POLL = Duration.ofMillis(1_200);

    private static final Duration CONFIGURATION_LONG_POLL = Duration.ofMillis(1_500);

    /** Read at this interval alone, a configuration would be proven too late for keys; others prove it in between. */
    private static final Duration INFREQUENT_LONG_POLL = Duration.ofSeconds(6);

    private static final Duration CONFIGURATION_MIN_INTERVAL = Duration.ofMillis(100);
    private static final Duration SERVERS_MIN_INTERVAL = Duration.ofMillis(150);

    /** How often the list is read from another entry; such a question costs no call to the store. */
    private static final Duration FOLLOWER_MIN_INTERVAL = Duration.ofMillis(250);

    private FleetScaling() {}

    /** Returns the rounds in which every other entry is asked once. */
    static int roundsToReachAll(int entries) {
        return Math.max(1, (entries - 1 + PEERS_PER_ROUND - 1) / PEERS_PER_ROUND);
    }

    /** Returns how long ago an entry must have answered to count as alive. */
    static Duration aliveTimeout(int entries) {
        return BASE_ALIVE_TIMEOUT.plus(EXCHANGE_INTERVAL.multipliedBy(roundsToReachAll(entries) - 1L));
    }

    /**
     * Returns how the configuration is read.
     *
     * @param entries the entries there are
     * @param reader whether this entry is one that reads at short intervals, such as a keeper
     */
    static FeedPoller.PollIntervals configurationIntervals(int entries, boolean reader) {
        return new FeedPoller.PollIntervals(
                reader || entries <= SMALL_FLEET_MAX_ENTRIES ? CONFIGURATION_LONG_POLL : INFREQUENT_LONG_POLL, CONFIGURATION_MIN_INTERVAL);
    }

    /** Returns how many targets an entry compares for a request; all where the counts of others are not old. */
    static int targetChoices(int entries) {
        return entries > SMALL_FLEET_MAX_ENTRIES ? SAMPLED_TARGETS : Integer.MAX_VALUE;
    }

    /** Returns whether entries that are no readers read the list of backend servers from others. */
    static boolean readsFromFollowers(int entries) {
        return entries > SMALL_FLEET_MAX_ENTRIES;
    }

    /**
     * Returns how the list of backend servers is read.
     *
     * @param entries the entries there are
     * @param reader whether this entry is one that reads at short intervals, such as a keeper
     */
    static FeedPoller.PollIntervals serverListIntervals(int entries, boolean reader) {
        boolean alone = reader || !readsFromFollowers(entries);
        return new FeedPoller.PollIntervals(SERVERS_LONG_POLL, alone ? SERVERS_MIN_INTERVAL : FOLLOWER_MIN_INTERVAL);
    }
}
