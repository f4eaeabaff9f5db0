package org.baobabspindle.node;

import java.util.function.Function;
import org.baobabspindle.peer.PeerMessage;

/** Delegates to a responder that is set once the entry is constructed; until then every request fails. */
final class DeferredPeerResponder implements Function<PeerMessage, PeerMessage> {
    private volatile Function<PeerMessage, PeerMessage> responder = ask -> new PeerMessage.Failed("starting");

    void set(Function<PeerMessage, PeerMessage> delegate) {
        responder = delegate;
    }

    @Override
    public PeerMessage apply(PeerMessage ask) {
        return responder.apply(ask);
    }
}
