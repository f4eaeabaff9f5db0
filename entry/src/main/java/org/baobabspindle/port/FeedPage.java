package org.baobabspindle.port;

import java.util.List;

/**
 * What a read of a feed found.
 *
 * @param records the records in their order; empty if none came while the read waited
 * @param next where the next read begins
 * @param expired whether the records asked for are gone, so that the newest ones must be read anew
 */
public record FeedPage(List<FeedRecord> records, long next, boolean expired) {
    /** Copies the records. */
    public FeedPage {
        records = List.copyOf(records);
    }

    /**
     * Says that the records asked for are gone.
     *
     * @return the page
     */
    public static FeedPage ofExpired() {
        return new FeedPage(List.of(), 0, true);
    }
}
