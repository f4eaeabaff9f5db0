package org.baobabspindle.gateway;

import java.util.Optional;
import org.baobabspindle.peer.PeerProtocol;

/**
 * What another entry can read. An entry of an earlier release does not announce it; it is assumed to read everything until
 * it closes the connection on a message. Guarded by the lock of the mesh.
 */
final class PeerCompatibility {
    private PeerProtocol assumed;
    private PeerProtocol proven;

    private PeerCompatibility(PeerProtocol assumed, PeerProtocol proven) {
        this.assumed = assumed;
        this.proven = proven;
    }

    /** Returns the compatibility of an entry that has announced a protocol, or none. */
    static PeerCompatibility of(Optional<PeerProtocol> announced) {
        return new PeerCompatibility(
                announced.orElse(PeerProtocol.LAST_UNANNOUNCED), announced.orElse(PeerProtocol.BASE));
    }

    /** Returns the protocol in which requests are sent to the entry. */
    PeerProtocol assumed() {
        return assumed;
    }

    /** Returns the protocol that the entry is known to read. */
    PeerProtocol proven() {
        return proven;
    }

    /** The entry has answered a message that requires a protocol. */
    void answered(PeerProtocol required) {
        if (required.includes(proven)) {
            proven = required;
        }
        if (proven.includes(assumed)) {
            assumed = proven;
        }
    }

    /**
     * The connection was closed while the entry had not answered a message. One closed connection lowers the assumption by
     * one step, whichever of the messages on it was the cause.
     *
     * @param required the protocol that the message requires
     * @param assumedAtSend the assumption with which it was sent
     * @return whether the message may have been the cause, and is to be sent again
     */
    boolean connectionClosed(PeerProtocol required, PeerProtocol assumedAtSend) {
        if (proven.includes(required)) {
            return false;
        }
        if (assumed == assumedAtSend) {
            assumed = assumed.lower();
        }
        return true;
    }
}
