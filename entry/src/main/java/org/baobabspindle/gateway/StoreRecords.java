package org.baobabspindle.gateway;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.peer.PeerMessage;
import org.baobabspindle.port.FeedPage;
import org.baobabspindle.port.FeedPosition;
import org.baobabspindle.port.FeedRecord;

/**
 * Converts pages of a feed to messages between entries and back. Record contents are arbitrary bytes and travel as
 * ISO-8859-1 text; a removed key has a null content.
 */
final class StoreRecords {
    private StoreRecords() {}

    /** Returns the answer to an entry of an earlier release, which cannot read the age of a page. */
    static PeerMessage.ServersAnswer toMessage(FeedPage page) {
        return new PeerMessage.ServersAnswer(
                encode(page.records()), page.next().era(), page.next().offset());
    }

    /**
     * Returns the answer with the age of the page; the age is as of the time at which it was computed.
     *
     * @param held the digest of a content that the receiver holds; empty if it does not read long contents
     */
    static PeerMessage.FeedAnswer toMessage(
            RelayedPage served, Moment now, Optional<String> held, LongContents contents) {
        FeedPosition next = served.page().next();
        Long age = served.provenAt().map(at -> now.since(at).toMillis() + 1).orElse(null);
        List<FeedRecord> records = new ArrayList<>(served.page().records());
        List<PeerMessage.LongContent> longContents = new ArrayList<>();
        for (int i = 0; held.isPresent() && i < records.size(); i++) {
            FeedRecord r = records.get(i);
            if (r.value().filter(LongContents::isLong).isPresent()) {
                longContents.add(contents.encode(i, r.value().get(), held.get()));
                records.set(i, new FeedRecord(r.key(), Optional.of(new byte[0])));
            }
        }
        return new PeerMessage.FeedAnswer(encode(records), next.era(), next.offset(), age, longContents);
    }

    static FeedPage toPage(PeerMessage.ServersAnswer answer) {
        return toPage(answer.records(), answer.era(), answer.next());
    }

    /**
     * Returns the page of an answer. Its proof is counted from the request, so that time during which either entry was
     * frozen is added to the age.
     *
     * @param requestedAt when the page was requested from the other entry
     * @param held the content that this entry held then
     * @throws LongContents.InvalidContentException if a content cannot be restored
     */
    static RelayedPage toPage(
            PeerMessage.FeedAnswer answer, Moment requestedAt, Optional<byte[]> held, LongContents contents) {
        Optional<Moment> provenAt =
                Optional.ofNullable(answer.ageMillis()).map(age -> requestedAt.minus(Duration.ofMillis(age)));
        FeedPage page = toPage(answer.records(), answer.era(), answer.next());
        if (answer.longContents().isEmpty()) {
            return new RelayedPage(page, provenAt);
        }
        List<FeedRecord> records = new ArrayList<>(page.records());
        for (PeerMessage.LongContent c : answer.longContents()) {
            if (c.index() < 0 || c.index() >= records.size()) {
                throw new LongContents.InvalidContentException("no record " + c.index() + " of " + records.size());
            }
            String key = records.get(c.index()).key();
            records.set(c.index(), new FeedRecord(key, Optional.of(contents.decode(c, held))));
        }
        return new RelayedPage(new FeedPage(records, page.next(), false), provenAt);
    }

    private static List<PeerMessage.StoreRecord> encode(List<FeedRecord> records) {
        List<PeerMessage.StoreRecord> result = new ArrayList<>();
        for (FeedRecord r : records) {
            String content = r.value()
                    .map(b -> new String(b, StandardCharsets.ISO_8859_1))
                    .orElse(null);
            result.add(new PeerMessage.StoreRecord(r.key(), content));
        }
        return result;
    }

    private static FeedPage toPage(List<PeerMessage.StoreRecord> encoded, long era, long next) {
        List<FeedRecord> records = new ArrayList<>();
        for (PeerMessage.StoreRecord r : encoded) {
            records.add(new FeedRecord(
                    r.key(), Optional.ofNullable(r.content()).map(c -> c.getBytes(StandardCharsets.ISO_8859_1))));
        }
        return new FeedPage(records, new FeedPosition(era, next), false);
    }
}
