package org.baobabspindle.peer;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Function;
import org.eclipse.jetty.io.EndPoint;

/** A connection that another entry opened. Its requests are processed only after it has authenticated. */
final class AcceptedConnection extends FrameConnection {
    private static final Logger LOGGER = System.getLogger(AcceptedConnection.class.getName());

    /** Frame size limit before authentication; bounds the memory that an unauthenticated client can make this entry use. */
    private static final int MAX_UNAUTHENTICATED_FRAME_BYTES = 4 * 1024;

    private final Executor workers;
    private final PeerSecret secret;
    private final Function<PeerMessage, PeerMessage> responder;
    private final PeerTraffic traffic;
    private final String nonce = PeerSecret.newNonce();
    private boolean authenticated;

    AcceptedConnection(
            EndPoint endPoint,
            Executor workers,
            PeerSecret secret,
            Function<PeerMessage, PeerMessage> responder,
            PeerTraffic traffic) {
        super(endPoint, workers);
        this.workers = workers;
        this.secret = secret;
        this.responder = responder;
        this.traffic = traffic;
    }

    @Override
    public void onOpen() {
        super.onOpen();
        send(new PeerFrame(0, false, new PeerMessage.Challenge(nonce)));
    }

    @Override
    int maxFrameBytes() {
        return authenticated ? FrameCodec.MAX_FRAME_BYTES : MAX_UNAUTHENTICATED_FRAME_BYTES;
    }

    @Override
    void received(PeerFrame frame) throws IOException {
        if (authenticated) {
            try {
                workers.execute(() -> respond(frame));
            } catch (RejectedExecutionException e) {
                throw new IOException("this entry is shutting down", e);
            }
            return;
        }
        if (!(frame.message() instanceof PeerMessage.Proof proof) || !secret.verify(nonce, proof)) {
            LOGGER.log(
                    Level.INFO, "peer {0} failed to authenticate", getEndPoint().getRemoteSocketAddress());
            throw new IOException("peer failed to authenticate");
        }
        authenticated = true;
        getEndPoint().setIdleTimeout(0);
    }

    private void respond(PeerFrame request) {
        PeerMessage message;
        try {
            message = request.message() instanceof PeerMessage.Unknown
                    ? new PeerMessage.Failed("the type of the request is unknown")
                    : responder.apply(request.message());
        } catch (RuntimeException e) {
            LOGGER.log(Level.ERROR, "request of a peer failed", e);
            message = new PeerMessage.Failed(String.valueOf(e.getMessage()));
        }
        traffic.recordSent(message, send(new PeerFrame(request.id(), true, message)));
    }
}
