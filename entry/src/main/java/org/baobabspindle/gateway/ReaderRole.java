package org.baobabspindle.gateway;

import java.time.Duration;
import java.util.Optional;
import org.baobabspindle.core.time.Moment;

/**
 * Decides whether an entry of a large fleet is a reader, which reads the feeds of the store at short intervals on behalf
 * of the others. An entry that hears no other one has the lowest rank and becomes a reader. The role is taken and given up
 * with a delay, so that entries that have just started do not all take it before they hear each other, and so that it
 * does not move when an entry is unresponsive for a moment. This class is not thread-safe.
 */
final class ReaderRole {
    /** The number of readers; if one is lost, the others read from the second one until the next in rank takes over. */
    static final int MAX_READERS = 2;

    /** The minimum time for which an entry must be among the lowest ranks to become a reader. */
    private static final Duration MIN_PROMOTION_DELAY = Duration.ofMillis(1_500);

    /** How long an entry stays a reader once enough entries with lower ranks read the store. */
    static final Duration DEMOTION_DELAY = Duration.ofSeconds(3);

    private Optional<Moment> lowestSince = Optional.empty();
    private Optional<Moment> lastQualified = Optional.empty();

    /**
     * Returns whether the entry is a reader now.
     *
     * @param rank the number of candidates that precede this one and can read the store
     * @param entries the number of entries
     * @param now the current time
     */
    boolean isReader(int rank, int entries, Moment now) {
        if (rank >= MAX_READERS) {
            lowestSince = Optional.empty();
        } else if (lowestSince.isEmpty()) {
            lowestSince = Optional.of(now);
        }
        if (lowestSince
                .filter(t -> now.since(t).compareTo(promotionDelay(entries)) >= 0)
                .isPresent()) {
            lastQualified = Optional.of(now);
        }
        return lastQualified
                .filter(t -> now.since(t).compareTo(DEMOTION_DELAY) < 0)
                .isPresent();
    }

    /**
     * Returns the time for which an entry must be among the lowest ranks to become a reader. An entry that starts has asked
     * all others by then; until a lost reader is replaced, entries fall back to the store.
     */
    static Duration promotionDelay(int entries) {
        Duration allAsked = FleetScaling.EXCHANGE_INTERVAL.multipliedBy(FleetScaling.roundsToReachAll(entries));
        return allAsked.compareTo(MIN_PROMOTION_DELAY) > 0 ? allAsked : MIN_PROMOTION_DELAY;
    }
}
