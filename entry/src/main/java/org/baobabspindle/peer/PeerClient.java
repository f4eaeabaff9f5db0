package org.baobabspindle.peer;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import org.baobabspindle.core.id.Incarnation;
import org.eclipse.jetty.io.ClientConnectionFactory;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.Transport;
import org.eclipse.jetty.util.Promise;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Sends requests to other entries, over one connection to each that is opened on first use. */
public final class PeerClient implements AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    /** Time limit for the challenge of the other side; equal to the limit of {@link PeerServer} for the proof. */
    private static final Duration CHALLENGE_TIMEOUT = Duration.ofSeconds(2);

    /**
     * Threads for connecting and selecting: one selector, one that replaces it while it reads, and two spare ones. They are
     * separate from the executor, because stopping the connector hangs if its selector has lost its thread.
     */
    private static final int MAX_IO_THREADS = 4;

    private final Incarnation self;
    private final Function<PeerAddress, PeerSecret> secrets;
    private final Executor executor;
    private final PeerTraffic traffic;
    private final ClientConnector connector = new ClientConnector();
    private final Map<PeerAddress, PeerLink> links = new ConcurrentHashMap<>();

    /**
     * Creates a client for entries that all share one secret.
     *
     * @param self this entry
     * @param secret the shared secret
     * @param executor runs the reading of replies
     * @param traffic counts the bytes sent
     */
    public PeerClient(Incarnation self, PeerSecret secret, Executor executor, PeerTraffic traffic) {
        this(self, address -> secret, executor, traffic);
    }

    /**
     * Creates a client for entries that have a separate secret each.
     *
     * @param self this entry
     * @param secrets returns the secret of the entry at an address
     * @param executor runs the reading of replies
     * @param traffic counts the bytes sent
     */
    public PeerClient(
            Incarnation self, Function<PeerAddress, PeerSecret> secrets, Executor executor, PeerTraffic traffic) {
        this.self = self;
        this.secrets = secrets;
        this.executor = executor;
        this.traffic = traffic;
        QueuedThreadPool ioThreads = new QueuedThreadPool(MAX_IO_THREADS, 1);
        ioThreads.setDaemon(true);
        connector.setExecutor(ioThreads);
        connector.setSelectors(1);
        connector.setConnectTimeout(CONNECT_TIMEOUT);
        connector.setIdleTimeout(Duration.ZERO);
        try {
            connector.start();
        } catch (Exception e) {
            throw new IllegalStateException("peer client did not start", e);
        }
    }

    /**
     * Sends a request to an entry. A connection on which a request times out is not used for further requests, because it
     * may have become permanently unresponsive; requests that still wait on it are not affected.
     *
     * @param address the address of the entry
     * @param request the request
     * @param timeout the time limit for the reply, including that for opening the connection
     * @return the reply; fails with {@link PeerUnreachableException} if the request was certainly not sent, else with
     *     {@link java.io.IOException} or {@link java.util.concurrent.TimeoutException}
     */
    public CompletableFuture<PeerMessage> ask(PeerAddress address, PeerMessage request, Duration timeout) {
        PeerLink link = links.compute(
                address, (a, existing) -> existing != null && existing.tryAcquire() ? existing : connect(a));
        return link.connection()
                .thenCompose(c -> c.ask(request, traffic))
                .orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
                .whenComplete((result, failure) -> {
                    if (failure instanceof TimeoutException) {
                        links.remove(address, link);
                        link.retire();
                    }
                    link.release();
                });
    }

    /**
     * Stops using the connection to an entry, if there is one, for further requests.
     *
     * @param address the address of the entry
     */
    public void disconnect(PeerAddress address) {
        PeerLink link = links.remove(address);
        if (link != null) {
            link.retire();
        }
    }

    private PeerLink connect(PeerAddress address) {
        PeerLink link = new PeerLink();
        link.tryAcquire();
        Map<String, Object> context = new HashMap<>();
        ClientConnectionFactory factory =
                (endPoint, c) -> new DialedConnection(endPoint, executor, self, secrets.apply(address));
        context.put(ClientConnectionFactory.CONTEXT_KEY, factory);
        context.put(Transport.class.getName(), Transport.TCP_IP);
        context.put(
                ClientConnector.CONNECTION_PROMISE_CONTEXT_KEY,
                Promise.<Connection>from(
                        c -> awaitAuthentication(link, address, (DialedConnection) c),
                        e -> link.connection().completeExceptionally(unreachable(address, e))));
        connector.connect(new InetSocketAddress(address.host(), address.port()), context);
        return link;
    }

    private static void awaitAuthentication(PeerLink link, PeerAddress address, DialedConnection connection) {
        connection
                .authenticated()
                .orTimeout(CHALLENGE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .whenComplete((authenticated, failure) -> {
                    if (failure == null) {
                        link.connection().complete(connection);
                        return;
                    }
                    connection.close();
                    link.connection().completeExceptionally(unreachable(address, failure));
                });
    }

    private static PeerUnreachableException unreachable(PeerAddress address, Throwable cause) {
        return new PeerUnreachableException("no connection to " + address + ": " + cause.getMessage(), cause);
    }

    @Override
    public void close() {
        links.values().forEach(PeerLink::close);
        try {
            connector.stop();
        } catch (Exception e) {
            throw new IllegalStateException("peer client did not stop", e);
        }
    }
}
