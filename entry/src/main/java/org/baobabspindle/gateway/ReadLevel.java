package org.baobabspindle.gateway;

/**
 * Where an entry reads a feed. Two levels of entries stand between the store and most entries of a large fleet, because
 * the links of the readers could not carry the server list to all others: 140 records of 300 B a second to 35 entries
 * each would take 12 Mbit/s.
 */
enum ReadLevel {
    /** The store itself, as readers and all entries of a small fleet do. */
    STORE,
    /** The readers, as the other keepers do. */
    READERS,
    /** Any keeper or reader, as all other entries do. */
    FOLLOWERS
}
