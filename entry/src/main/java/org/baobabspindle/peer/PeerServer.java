package org.baobabspindle.peer;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.function.Function;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.AbstractConnectionFactory;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Accepts connections of other entries and answers their questions on a pool of workers. */
public final class PeerServer implements AutoCloseable {
    /** The time in which a new connection must prove itself. */
    private static final Duration PROOF_TIMEOUT = Duration.ofSeconds(2);

    /** New connections that wait to be accepted; all entries may come at once. */
    private static final int ACCEPT_QUEUE = 512;

    /**
     * Threads that select and read: one selector, one that takes over from it while it reads, and two to spare. They are not
     * the workers, because a selector that loses its thread never ends its server's stop.
     */
    private static final int MAX_THREADS = 4;

    private final Server server;
    private final ServerConnector connector;

    private PeerServer(Server server, ServerConnector connector) {
        this.server = server;
        this.connector = connector;
    }

    /**
     * Starts to listen.
     *
     * @param host the IP number
     * @param port the TCP port; 0 takes a free one
     * @param secret the secret that others must know
     * @param workers the pool that answers questions
     * @param answers the answer to each question
     * @param traffic counts what is sent
     * @return the running server
     * @throws IOException if it cannot listen
     */
    public static PeerServer start(
            String host,
            int port,
            PeerSecret secret,
            Executor workers,
            Function<PeerMessage, PeerMessage> answers,
            PeerTraffic traffic)
            throws IOException {
        QueuedThreadPool own = new QueuedThreadPool(MAX_THREADS, 1);
        own.setDaemon(true);
        Server server = new Server(own);
        ServerConnector connector =
                new ServerConnector(server, null, null, null, 0, 1, new Factory(workers, secret, answers, traffic));
        connector.setHost(host);
        connector.setPort(port);
        connector.setAcceptQueueSize(ACCEPT_QUEUE);
        connector.setIdleTimeout(PROOF_TIMEOUT.toMillis());
        server.addConnector(connector);
        try {
            server.start();
        } catch (IOException e) {
            throw e;
        } catch (Exception e) {
            throw new IOException("the server for other entries did not start", e);
        }
        return new PeerServer(server, connector);
    }

    private static final class Factory extends AbstractConnectionFactory {
        private final Executor workers;
        private final PeerSecret secret;
        private final Function<PeerMessage, PeerMessage> answers;
        private final PeerTraffic traffic;

        Factory(Executor workers, PeerSecret secret, Function<PeerMessage, PeerMessage> answers, PeerTraffic traffic) {
            super("peer");
            this.workers = workers;
            this.secret = secret;
            this.answers = answers;
            this.traffic = traffic;
        }

        @Override
        public Connection newConnection(Connector connector, EndPoint endPoint) {
            return configure(new AcceptedConnection(endPoint, workers, secret, answers, traffic), connector, endPoint);
        }
    }

    /**
     * Returns the port.
     *
     * @return the TCP port
     */
    public int port() {
        return connector.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        try {
            server.stop();
        } catch (Exception e) {
            throw new IOException("the server for other entries did not stop", e);
        }
    }
}
