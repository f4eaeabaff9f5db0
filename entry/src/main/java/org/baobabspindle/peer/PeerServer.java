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

/** Accepts connections of other entries and answers their requests on a worker pool. */
public final class PeerServer implements AutoCloseable {
    /** Time limit for a new connection to authenticate. */
    private static final Duration PROOF_TIMEOUT = Duration.ofSeconds(2);

    /** Maximum number of connections that wait to be accepted; all entries may connect at the same time. */
    private static final int ACCEPT_QUEUE_SIZE = 512;

    /**
     * Threads for selecting and reading: one selector, one that replaces it while it reads, and two spare ones. They are
     * separate from the workers, because stopping the server hangs if its selector has lost its thread.
     */
    private static final int MAX_IO_THREADS = 4;

    private final Server server;
    private final ServerConnector connector;

    private PeerServer(Server server, ServerConnector connector) {
        this.server = server;
        this.connector = connector;
    }

    /**
     * Starts a server.
     *
     * @param host the IP address to listen on
     * @param port the TCP port; 0 selects a free port
     * @param secret the secret by which other entries authenticate
     * @param workers runs the responder
     * @param responder returns the reply to a request
     * @param traffic counts the bytes sent
     * @return the running server
     * @throws IOException if the server cannot listen on the port
     */
    public static PeerServer start(
            String host,
            int port,
            PeerSecret secret,
            Executor workers,
            Function<PeerMessage, PeerMessage> responder,
            PeerTraffic traffic)
            throws IOException {
        QueuedThreadPool ioThreads = new QueuedThreadPool(MAX_IO_THREADS, 1);
        ioThreads.setDaemon(true);
        Server server = new Server(ioThreads);
        ServerConnector connector = new ServerConnector(
                server, null, null, null, 0, 1, new ConnectionFactory(workers, secret, responder, traffic));
        connector.setHost(host);
        connector.setPort(port);
        connector.setAcceptQueueSize(ACCEPT_QUEUE_SIZE);
        connector.setIdleTimeout(PROOF_TIMEOUT.toMillis());
        server.addConnector(connector);
        try {
            server.start();
        } catch (IOException e) {
            throw e;
        } catch (Exception e) {
            throw new IOException("peer server did not start", e);
        }
        return new PeerServer(server, connector);
    }

    private static final class ConnectionFactory extends AbstractConnectionFactory {
        private final Executor workers;
        private final PeerSecret secret;
        private final Function<PeerMessage, PeerMessage> responder;
        private final PeerTraffic traffic;

        ConnectionFactory(
                Executor workers,
                PeerSecret secret,
                Function<PeerMessage, PeerMessage> responder,
                PeerTraffic traffic) {
            super("peer");
            this.workers = workers;
            this.secret = secret;
            this.responder = responder;
            this.traffic = traffic;
        }

        @Override
        public Connection newConnection(Connector connector, EndPoint endPoint) {
            return configure(
                    new AcceptedConnection(endPoint, workers, secret, responder, traffic), connector, endPoint);
        }
    }

    /**
     * Returns the port that the server listens on.
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
            throw new IOException("peer server did not stop", e);
        }
    }
}
