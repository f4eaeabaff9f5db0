package review;

import java.util.Random;

/** What is lost, and how it comes back. */
enum PowerVariant {
    ENTRIES(true, false),
    ENTRIES_ONE_LATE(true, false),
    ENTRIES_ONE_EARLY(true, false),
    ENTRIES_STORE_REFUSES(true, false),
    ENTRIES_STORE_SLOW(true, false),
    ENTRIES_HALF_OPEN(true, false),
    RUNNERS(false, true),
    RUNNERS_SAME_IDS(false, true),
    RUNNERS_BLINK(false, true),
    BOTH(true, true),
    BOTH_SAME_IDS(true, true),
    RUNNERS_SAME_ADDRESS(false, true),
    BOTH_SAME_ADDRESS(true, true),
    BOTH_RUNNERS_LATE(true, true),
    BOTH_ONE_LATE(true, true),
    BOTH_STORE_REFUSES(true, true),
    BOTH_HOSTS_EMPTY(true, true);

    private final boolean entries;
    private final boolean runners;

    PowerVariant(boolean entries, boolean runners) {
        this.entries = entries;
        this.runners = runners;
    }

    boolean losesEntries() {
        return entries;
    }

    boolean losesRunners() {
        return runners;
    }

    /** Returns for how long the machines are down. */
    int downMillis(Random random) {
        return this == RUNNERS_BLINK ? 20 + random.nextInt(150) : 200 + random.nextInt(5_800);
    }

    /** Returns whether the runners come back under their ids. */
    boolean keepsIds() {
        return this == RUNNERS_SAME_IDS || this == RUNNERS_BLINK || this == BOTH_SAME_IDS || keepsAddresses();
    }

    /** Returns whether the runners come back under their ids, at their addresses. */
    boolean keepsAddresses() {
        return this == RUNNERS_SAME_ADDRESS || this == BOTH_SAME_ADDRESS;
    }

    /** Returns whether the hosts of the engines still have the weights. */
    boolean keepsWeights() {
        return this != BOTH_HOSTS_EMPTY;
    }

    /** Returns whether runners count the connections of the former entries for a while. */
    boolean keepsConnections() {
        return this == ENTRIES_HALF_OPEN;
    }

    boolean storeRefuses() {
        return this == ENTRIES_STORE_REFUSES || this == BOTH_STORE_REFUSES;
    }

    boolean storeIsSlow() {
        return this == ENTRIES_STORE_SLOW;
    }

    /** Returns by how much later than the entries the runners come back. */
    int runnersLateMillis() {
        return this == BOTH_RUNNERS_LATE ? 2_000 : 0;
    }

    /** Returns whether an entry comes back later than the others. */
    boolean isLate(boolean chosen) {
        return chosen ? this == ENTRIES_ONE_LATE || this == BOTH_ONE_LATE : this == ENTRIES_ONE_EARLY;
    }
}
