package org.baobabspindle.peer;

import java.util.Optional;

/**
 * What an entry can read of the messages of others. Each protocol includes those before it. Entries that announce no
 * protocol are of earlier releases, which close a connection on a field or message type that they do not know.
 */
public enum PeerProtocol {
    /** The messages without the fields that are named by the other protocols. */
    BASE(0),
    /** Also rate limits in the state of an entry, and the era of the store in positions of its feeds. */
    RATE_LIMITS(1),
    /** Also whether an entry is partitioned from the backend servers; requests are relayed with a mark. */
    PARTITIONS(2),
    /** Also any field and message type of a later release, which are ignored and refused. */
    EXTENSIBLE(3);

    /** The protocol of this release. */
    public static final PeerProtocol CURRENT = EXTENSIBLE;

    /** The highest protocol of the releases that announce none. */
    public static final PeerProtocol LAST_UNANNOUNCED = PARTITIONS;

    private final int number;

    PeerProtocol(int number) {
        this.number = number;
    }

    /**
     * Returns the number by which an entry announces this protocol.
     *
     * @return the number
     */
    public int number() {
        return number;
    }

    /**
     * Returns the protocol that an entry has announced. One of a later release includes the current one.
     *
     * @param number the announced number; 0 if none was announced
     * @return the protocol; empty if none was announced
     */
    public static Optional<PeerProtocol> ofAnnounced(int number) {
        return number > LAST_UNANNOUNCED.number ? Optional.of(CURRENT) : Optional.empty();
    }

    /**
     * Returns whether entries with this protocol can read what requires another one.
     *
     * @param required the required protocol
     * @return whether this protocol includes the required one
     */
    public boolean includes(PeerProtocol required) {
        return compareTo(required) >= 0;
    }

    /**
     * Returns the next lower protocol.
     *
     * @return the protocol before this one; the lowest for itself
     */
    public PeerProtocol lower() {
        return switch (this) {
            case BASE, RATE_LIMITS -> BASE;
            case PARTITIONS -> RATE_LIMITS;
            case EXTENSIBLE -> PARTITIONS;
        };
    }
}
