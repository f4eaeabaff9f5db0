package org.baobabspindle.port;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's store. Every future fails with a {@link StoreException} if the store refuses, does not answer in time
 * or answers something that cannot be read; a write may then still have been done.
 */
public interface PlatformStore {
    /**
     * Reads the newest record of each key.
     *
     * @param feed the feed
     * @return the records and where to read on
     */
    CompletableFuture<FeedPage> readLatest(Feed feed);

    /**
     * Reads records from a position on; waits for one if there is none.
     *
     * @param feed the feed
     * @param from the position
     * @param wait the longest wait
     * @return the records and where to read on
     */
    CompletableFuture<FeedPage> read(Feed feed, long from, Duration wait);

    /**
     * Writes the record of a key of this system's own feed.
     *
     * @param key the key
     * @param value the content
     * @return completes once the store has it
     */
    CompletableFuture<Void> announce(String key, byte[] value);

    /**
     * Joins the keepers or stays among them.
     *
     * @param member the name of this member
     * @param timeToLive how long the partitions are held without another call
     * @param generation the last generation received; 0 at first
     * @return the partitions held
     */
    CompletableFuture<LeaseGrant> renewLease(String member, Duration timeToLive, long generation);

    /**
     * Gives all partitions up.
     *
     * @param member the name of this member
     * @return completes once the store has it
     */
    CompletableFuture<Void> releaseLease(String member);

    /**
     * Draws a number greater than all drawn before, over all entries.
     *
     * @param member the name of this member
     * @return the number, at least 1
     */
    CompletableFuture<Long> nextTerm(String member);
}
