package org.baobabspindle.peer;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Function;
import org.eclipse.jetty.io.EndPoint;

/** A connection of another entry. It must prove itself before it is listened to. */
final class AcceptedConnection extends FrameConnection {
    private static final Logger LOGGER = System.getLogger(AcceptedConnection.class.getName());

    /** Room for the proof; a stranger cannot make this entry hold more. */
    private static final int MAX_PROOF_BYTES = 4 * 1024;

    private final Executor workers;
    private final PeerSecret secret;
    private final Function<PeerMessage, PeerMessage> answers;
    private final PeerTraffic traffic;
    private final String nonce = PeerSecret.nonce();
    private boolean proven;

    AcceptedConnection(
            EndPoint endPoint,
            Executor workers,
            PeerSecret secret,
            Function<PeerMessage, PeerMessage> answers,
            PeerTraffic traffic) {
        super(endPoint, workers);
        this.workers = workers;
        this.secret = secret;
        this.answers = answers;
        this.traffic = traffic;
    }

    @Override
    public void onOpen() {
        super.onOpen();
        send(new PeerFrame(0, false, new PeerMessage.Challenge(nonce)));
    }

    @Override
    int maxFrameBytes() {
        return proven ? FrameCodec.MAX_FRAME_BYTES : MAX_PROOF_BYTES;
    }

    @Override
    void received(PeerFrame frame) throws IOException {
        if (proven) {
            try {
                workers.execute(() -> answer(frame));
            } catch (RejectedExecutionException e) {
                throw new IOException("this entry ends", e);
            }
            return;
        }
        if (!(frame.message() instanceof PeerMessage.Proof proof) || !secret.verify(nonce, proof)) {
            LOGGER.log(
                    Level.INFO, "peer {0} failed to prove itself", getEndPoint().getRemoteSocketAddress());
            throw new IOException("the peer failed to prove itself");
        }
        proven = true;
        getEndPoint().setIdleTimeout(0);
    }

    private void answer(PeerFrame ask) {
        PeerMessage message;
        try {
            message = answers.apply(ask.message());
        } catch (RuntimeException e) {
            LOGGER.log(Level.ERROR, "a peer's question failed", e);
            message = new PeerMessage.Failed(String.valueOf(e.getMessage()));
        }
        traffic.sent(message, send(new PeerFrame(ask.id(), true, message)));
    }
}
