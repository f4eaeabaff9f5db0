package org.baobabspindle.gateway;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.baobabspindle.peer.PeerMessage;
import org.baobabspindle.port.FeedPage;
import org.baobabspindle.port.FeedRecord;

/** Pages of a feed as messages between entries. */
final class StoreRecords {
    private StoreRecords() {}

    static PeerMessage.ServersAnswer answer(FeedPage page) {
        List<PeerMessage.StoreRecord> records = new ArrayList<>();
        for (FeedRecord r : page.records()) {
            String content = r.value()
                    .map(b -> new String(b, StandardCharsets.ISO_8859_1))
                    .orElse(null);
            records.add(new PeerMessage.StoreRecord(r.key(), content));
        }
        return new PeerMessage.ServersAnswer(records, page.next());
    }

    static FeedPage page(PeerMessage.ServersAnswer answer) {
        List<FeedRecord> records = new ArrayList<>();
        for (PeerMessage.StoreRecord r : answer.records()) {
            records.add(new FeedRecord(
                    r.key(), Optional.ofNullable(r.content()).map(c -> c.getBytes(StandardCharsets.ISO_8859_1))));
        }
        return new FeedPage(records, answer.next(), false);
    }
}
