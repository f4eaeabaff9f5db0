package org.baobabspindle.node;

import java.util.function.Function;
import org.baobabspindle.peer.PeerMessage;

/** Answers of an entry whose parts are still being put together: until then every question fails. */
final class DeferredPeerResponder implements Function<PeerMessage, PeerMessage> {
    private volatile Function<PeerMessage, PeerMessage> answers = ask -> new PeerMessage.Failed("starting");

    void set(Function<PeerMessage, PeerMessage> ready) {
        answers = ready;
    }

    @Override
    public PeerMessage apply(PeerMessage ask) {
        return answers.apply(ask);
    }
}
