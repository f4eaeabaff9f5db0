package org.baobabspindle.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.peer.PeerMessage;
import org.baobabspindle.port.Feed;

/**
 * What an entry knows about another one as a source of the feeds of the store. Guarded by the lock of the mesh.
 */
final class FeedSource {
    /** The age of the last answered read at which a reader counts as cut off from the store. */
    static final Duration MAX_STORE_AGE = Duration.ofSeconds(2);

    /** How long an entry that did not answer a read is not asked again, so that few reads wait for a frozen one. */
    private static final Duration AVOIDED_AFTER_TIMEOUT = Duration.ofSeconds(2);

    /** How long an entry that could not serve a read is not asked again. */
    private static final Duration AVOIDED_AFTER_REFUSAL = Duration.ofMillis(400);

    private boolean follows;
    private OptionalLong storeAge = OptionalLong.empty();
    private Optional<Moment> avoidedUntil = Optional.empty();

    /** Applies the state of the entry. */
    void update(PeerMessage.Pulse state) {
        follows = state.follows();
        storeAge = state.storeAgeMillis() == null ? OptionalLong.empty() : OptionalLong.of(state.storeAgeMillis());
    }

    /** Returns whether the entry serves all feeds with the age of their proof; entries of earlier releases do not. */
    boolean servesAllFeeds() {
        return storeAge.isPresent();
    }

    /** Returns whether the entry can act as a reader: it serves all feeds and is not known to be cut off from the store. */
    boolean canRead() {
        return storeAge.isPresent() && storeAge.getAsLong() <= MAX_STORE_AGE.toMillis();
    }

    /** Returns whether reads of a feed at a level may be sent to the entry now. */
    boolean serves(Feed feed, ReadLevel level, Moment now) {
        if (avoidedUntil.filter(now::isBefore).isPresent()) {
            return false;
        }
        return switch (level) {
            case STORE -> false;
            case READERS -> canRead() && storeAge.getAsLong() >= 0;
            case FOLLOWERS -> follows && (servesAllFeeds() || feed == Feed.BACKEND_SERVERS);
        };
    }

    /** Records that the entry did not serve a read. */
    void readFailed(boolean answered, Moment now) {
        avoidedUntil = Optional.of(now.plus(answered ? AVOIDED_AFTER_REFUSAL : AVOIDED_AFTER_TIMEOUT));
    }
}
