package org.baobabspindle.port;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * A client of the platform's store. Each future completes exceptionally with a {@link StoreException} if the store
 * refuses the call, does not answer in time or sends an answer that cannot be decoded; a write may have taken effect
 * even then.
 */
public interface PlatformStore {
    /**
     * Reads the latest record of each key. The page is partial if the store does not return all of them.
     *
     * @param feed the feed
     * @return the records and where to read on
     */
    CompletableFuture<FeedPage> readLatest(Feed feed);

    /**
     * Reads the records from a position on; waits for one if there is none yet.
     *
     * @param feed the feed
     * @param from the position of the first record
     * @param wait the maximum time to wait for a record
     * @return the records and where to read on
     */
    CompletableFuture<FeedPage> read(Feed feed, FeedPosition from, Duration wait);

    /**
     * Writes a record to the {@link Feed#ENTRIES} feed, which belongs to this system.
     *
     * @param key the key
     * @param value the content of the record
     * @return completes once the store has it
     */
    CompletableFuture<Void> announce(String key, byte[] value);

    /**
     * Joins the members that share the lease partitions, or renews this membership.
     *
     * @param member the name of this member
     * @param timeToLive how long the partitions are held without another renewal
     * @param generation the generation of the last grant; 0 if there is none
     * @return the partitions that this member now holds
     */
    CompletableFuture<LeaseGrant> renewLease(String member, Duration timeToLive, long generation);

    /**
     * Releases all partitions and leaves the members.
     *
     * @param member the name of this member
     * @return completes once the store has it
     */
    CompletableFuture<Void> releaseLease(String member);

    /**
     * Returns a new term: a fencing number greater than all that any entry received before.
     *
     * @param member the name of this member
     * @return the term, at least 1
     */
    CompletableFuture<Long> nextTerm(String member);
}
