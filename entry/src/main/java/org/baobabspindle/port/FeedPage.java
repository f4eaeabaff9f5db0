package org.baobabspindle.port;

import java.util.List;

/**
 * The result of one read of a feed.
 *
 * @param records the records in their order; empty if none was written while the read waited
 * @param next the position from which to continue reading
 * @param expired whether the requested records have expired, so that the reader must start again from
 *     {@link PlatformStore#readLatest}
 * @param partial whether the store has latest records of further keys, which it did not return
 */
public record FeedPage(List<FeedRecord> records, FeedPosition next, boolean expired, boolean partial) {
    /** Copies the records. */
    public FeedPage {
        records = List.copyOf(records);
    }

    /**
     * Creates a page that contains all records that were requested, or none because they have expired.
     *
     * @param records the records in their order
     * @param next the position from which to continue reading
     * @param expired whether the requested records have expired
     */
    public FeedPage(List<FeedRecord> records, FeedPosition next, boolean expired) {
        this(records, next, expired, false);
    }

    /**
     * Returns a page of some of the latest records.
     *
     * @param records the records that the store returned
     * @param next the position from which to continue reading
     * @return the page
     */
    public static FeedPage ofPartial(List<FeedRecord> records, FeedPosition next) {
        return new FeedPage(records, next, false, true);
    }

    /**
     * Returns a page that states that the requested records have expired.
     *
     * @return the page, without records
     */
    public static FeedPage ofExpired() {
        return new FeedPage(List.of(), new FeedPosition(0, 0), true);
    }
}
