package org.baobabspindle.gateway;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.baobabspindle.core.dispatch.EntryChanges;
import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.core.id.Checks;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.logging.OncePerKeyLog;
import org.baobabspindle.peer.PeerAddress;
import org.baobabspindle.peer.PeerProtocol;
import org.baobabspindle.port.FeedPage;
import org.baobabspindle.port.FeedRecord;

/**
 * The record by which an entry announces itself to other entries in the store.
 *
 * @param entry the incarnation of the entry
 * @param host its IP address
 * @param callerPort the port for callers
 * @param peerPort the port for other entries
 * @param zone its availability zone
 * @param secret the shared secret that connecting entries must prove to know; all who can read the store know it
 * @param protocol the number of the protocol that it reads; 0 in announcements of earlier releases, which state none
 * @param capacity the load that it can bear, in cores; null, and not written, if it is not known
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record EntryAnnouncement(
        Incarnation entry,
        String host,
        int callerPort,
        int peerPort,
        AvailabilityZone zone,
        String secret,
        int protocol,
        @JsonInclude(JsonInclude.Include.NON_NULL) Double capacity) {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final OncePerKeyLog MALFORMED = new OncePerKeyLog(EntryAnnouncement.class);

    EntryAnnouncement {
        Checks.require(entry != null && zone != null, "entry and zone must not be null");
        Checks.identifier("host", host);
        Checks.identifier("secret", secret);
        Checks.port("callerPort", callerPort);
        Checks.port("peerPort", peerPort);
    }

    /** Creates the announcement of an entry whose capacity is not known. */
    EntryAnnouncement(
            Incarnation entry,
            String host,
            int callerPort,
            int peerPort,
            AvailabilityZone zone,
            String secret,
            int protocol) {
        this(entry, host, callerPort, peerPort, zone, secret, protocol, null);
    }

    /** Creates the announcement of an entry of this release whose capacity is not known. */
    EntryAnnouncement(
            Incarnation entry, String host, int callerPort, int peerPort, AvailabilityZone zone, String secret) {
        this(entry, host, callerPort, peerPort, zone, secret, PeerProtocol.CURRENT.number());
    }

    /** Returns the announcement with a capacity. */
    EntryAnnouncement withCapacity(Double newCapacity) {
        return new EntryAnnouncement(entry, host, callerPort, peerPort, zone, secret, protocol, newCapacity);
    }

    /** Parses a record of the store; empty if it is a removal or is malformed. */
    static Optional<EntryAnnouncement> parse(FeedRecord record) {
        if (record.value().isEmpty()) {
            return Optional.empty();
        }
        try {
            EntryAnnouncement parsed = MAPPER.readValue(record.value().get(), EntryAnnouncement.class);
            Checks.require(parsed != null, "the announcement must not be null");
            return Optional.of(parsed);
        } catch (IOException | RuntimeException e) {
            MALFORMED.warn(
                    record.key(),
                    "ignoring malformed announcement of entry \"" + record.key() + "\": " + e.getMessage());
            return Optional.empty();
        }
    }

    /** Returns the announcements on a page; an announcement of this entry is its own only if it is of this process. */
    EntryChanges changes(FeedPage page, boolean snapshot) {
        Set<InstanceId> announced = new HashSet<>();
        Set<InstanceId> removed = new HashSet<>();
        boolean ownAnnounced = false;
        for (FeedRecord r : page.records()) {
            Optional<EntryAnnouncement> parsed = parse(r);
            if (parsed.isPresent()) {
                announced.add(parsed.get().entry().instance());
                ownAnnounced |= parsed.get().equals(this);
            } else if (r.value().isEmpty()) {
                FleetTable.parseId(r.key()).ifPresent(removed::add);
            }
        }
        removed.removeAll(announced);
        return new EntryChanges(announced, removed, ownAnnounced, snapshot);
    }

    byte[] toJson() {
        try {
            return MAPPER.writeValueAsBytes(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("could not encode the announcement as JSON", e);
        }
    }

    /** Returns the protocol that the entry states to read; empty if it is of a release that states none. */
    Optional<PeerProtocol> announcedProtocol() {
        return PeerProtocol.ofAnnounced(protocol);
    }

    PeerAddress peerAddress() {
        return new PeerAddress(host, peerPort);
    }

    String callerAddress() {
        return host + ":" + callerPort;
    }
}
