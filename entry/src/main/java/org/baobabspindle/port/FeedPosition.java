package org.baobabspindle.port;

import org.baobabspindle.core.id.Checks;

/**
 * A position in a feed. The store numbers its records anew after it was restored from an older copy, so an offset is
 * valid only in the era in which the store returned it.
 *
 * @param era the era of the store, which increases by one each time the store is restored
 * @param offset the number of records before this position
 */
public record FeedPosition(long era, long offset) {
    /** Validates the era and the offset. */
    public FeedPosition {
        Checks.require(era >= 0, "era must not be negative but was " + era);
        Checks.require(offset >= 0, "offset must not be negative but was " + offset);
    }
}
