package org.baobabspindle.node;

import java.time.Duration;
import java.util.OptionalInt;
import java.util.concurrent.ExecutionException;
import org.baobabspindle.core.id.ClientAccountId;
import org.baobabspindle.core.log.EntryDescription;
import org.baobabspindle.peer.PeerAddress;
import org.baobabspindle.peer.PeerClient;
import org.baobabspindle.peer.PeerMessage;
import org.baobabspindle.serving.AccountRateLimiter;

/** Requests rate limit tokens from the home of a client account, the entry that allocates the tokens of the account. */
final class PeerHomeClient implements AccountRateLimiter.HomeClient {
    private static final Duration TIMEOUT = Duration.ofMillis(300);

    private final PeerClient peers;

    PeerHomeClient(PeerClient peers) {
        this.peers = peers;
    }

    @Override
    public OptionalInt requestTokens(EntryDescription home, ClientAccountId account, int wanted) {
        PeerAddress address = new PeerAddress(home.peerHost(), home.peerPort());
        try {
            PeerMessage answer = peers.ask(address, new PeerMessage.TokensAsk(account, wanted), TIMEOUT)
                    .get();
            return answer instanceof PeerMessage.TokensAnswer t ? OptionalInt.of(t.granted()) : OptionalInt.empty();
        } catch (ExecutionException e) {
            return OptionalInt.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return OptionalInt.empty();
        }
    }
}
