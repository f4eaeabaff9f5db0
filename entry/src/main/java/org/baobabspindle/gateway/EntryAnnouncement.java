package org.baobabspindle.gateway;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Optional;
import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.core.id.Checks;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.peer.PeerAddress;
import org.baobabspindle.port.FeedRecord;

/**
 * What an entry says of itself in the store.
 *
 * @param entry the entry
 * @param host its IP number
 * @param callerPort where callers connect
 * @param peerPort where other entries connect
 * @param zone its availability zone
 * @param secret what other entries prove to know when they connect; whoever may read the store may connect
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record EntryAnnouncement(
        Incarnation entry, String host, int callerPort, int peerPort, AvailabilityZone zone, String secret) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    EntryAnnouncement {
        Checks.require(entry != null && zone != null, "entry and zone must be given");
        Checks.identifier("host", host);
        Checks.identifier("secret", secret);
    }

    /** Reads a record; empty if it cannot be read whole. */
    static Optional<EntryAnnouncement> parse(FeedRecord record) {
        if (record.value().isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(MAPPER.readValue(record.value().get(), EntryAnnouncement.class));
        } catch (IOException | IllegalArgumentException e) {
            System.getLogger(EntryAnnouncement.class.getName())
                    .log(System.Logger.Level.WARNING, "the record of entry {0} is ignored: {1}", record.key(), e);
            return Optional.empty();
        }
    }

    byte[] toJson() {
        try {
            return MAPPER.writeValueAsBytes(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a record of plain fields has a JSON form", e);
        }
    }

    PeerAddress peerAddress() {
        return new PeerAddress(host, peerPort);
    }

    String callerAddress() {
        return host + ":" + callerPort;
    }
}
