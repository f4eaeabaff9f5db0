package org.baobabspindle.port;

import java.util.Optional;

/**
 * A keyed record of a feed.
 *
 * @param key its key
 * @param value its content; empty if the key has been removed
 */
public record FeedRecord(String key, Optional<byte[]> value) {}
