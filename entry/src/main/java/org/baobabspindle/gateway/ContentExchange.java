package org.baobabspindle.gateway;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Supplier;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.peer.PeerMessage;
import org.baobabspindle.port.Feed;
import org.baobabspindle.port.FeedPosition;
import org.baobabspindle.port.FeedRecord;

/**
 * Composes and reads the messages by which entries send records of the store to each other. A configuration of many routes
 * is sent compressed, and not at all to an entry that holds it; entries of earlier releases get it as it is.
 */
final class ContentExchange {
    private final Supplier<Optional<FeedRecord>> configuration;
    private final LongContents contents = new LongContents();

    /**
     * Creates an exchange.
     *
     * @param configuration returns the record of the configuration that this entry follows
     */
    ContentExchange(Supplier<Optional<FeedRecord>> configuration) {
        this.configuration = configuration;
    }

    /** A request for records, and the content that this entry held when it was composed. */
    final class FeedRequest {
        private final Optional<byte[]> held = held();
        private final PeerMessage.FeedAsk message;

        private FeedRequest(Feed feed, FeedPosition from) {
            message = new PeerMessage.FeedAsk(feed.name(), from.era(), from.offset(), heldDigest(held));
        }

        PeerMessage.FeedAsk message() {
            return message;
        }

        /** Returns the page of an answer; empty if a content in it cannot be restored. */
        Optional<RelayedPage> page(PeerMessage.FeedAnswer answer, Moment requestedAt) {
            try {
                return Optional.of(StoreRecords.toPage(answer, requestedAt, held, contents));
            } catch (LongContents.InvalidContentException e) {
                return Optional.empty();
            }
        }
    }

    FeedRequest request(Feed feed, FeedPosition from) {
        return new FeedRequest(feed, from);
    }

    PeerMessage.FeedAnswer answer(PeerMessage.FeedAsk request, RelayedPage served, Moment now) {
        return StoreRecords.toMessage(served, now, Optional.ofNullable(request.held()), contents);
    }

    /** Returns a request for the configuration of an entry that can or cannot read long contents. */
    PeerMessage.ConfigurationAsk requestConfiguration(boolean readsLongContents) {
        return new PeerMessage.ConfigurationAsk(readsLongContents ? heldDigest(held()) : null);
    }

    PeerMessage.ConfigurationAnswer answer(PeerMessage.ConfigurationAsk request) {
        Optional<FeedRecord> own = configuration.get();
        String key = own.map(FeedRecord::key).orElse("");
        byte[] bytes = own.flatMap(FeedRecord::value).orElse(new byte[0]);
        return request.held() != null && LongContents.isLong(bytes)
                ? new PeerMessage.ConfigurationAnswer(key, "", contents.encode(0, bytes, request.held()))
                : new PeerMessage.ConfigurationAnswer(key, new String(bytes, StandardCharsets.UTF_8), null);
    }

    /**
     * Returns the record in an answer.
     *
     * @throws LongContents.InvalidContentException if its content cannot be restored
     */
    FeedRecord record(PeerMessage.ConfigurationAnswer answer) {
        byte[] bytes = answer.content() == null
                ? answer.text().getBytes(StandardCharsets.UTF_8)
                : contents.decode(answer.content(), held());
        return new FeedRecord(answer.key(), Optional.of(bytes));
    }

    private Optional<byte[]> held() {
        return configuration.get().flatMap(FeedRecord::value).filter(LongContents::isLong);
    }

    private String heldDigest(Optional<byte[]> held) {
        return held.map(contents::digest).orElse("");
    }
}
