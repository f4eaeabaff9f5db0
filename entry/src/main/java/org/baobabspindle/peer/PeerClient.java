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

/** Asks other entries, over one connection to each that is opened when first needed. */
public final class PeerClient implements AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    /** The time in which the other side must send its challenge; the same as it gives for the proof. */
    private static final Duration PROOF_TIMEOUT = Duration.ofSeconds(2);

    /**
     * Threads that connect and select: one selector, one that takes over from it while it reads, and two to spare. They are
     * not the workers, because a selector that loses its thread never ends its connector's stop.
     */
    private static final int MAX_THREADS = 4;

    private final Incarnation self;
    private final Function<PeerAddress, PeerSecret> secrets;
    private final Executor executor;
    private final PeerTraffic traffic;
    private final ClientConnector connector = new ClientConnector();
    private final Map<PeerAddress, PeerLink> links = new ConcurrentHashMap<>();

    /**
     * Creates a client for entries that share one secret.
     *
     * @param self this entry
     * @param secret the shared secret
     * @param executor where answers are read
     * @param traffic counts what is sent
     */
    public PeerClient(Incarnation self, PeerSecret secret, Executor executor, PeerTraffic traffic) {
        this(self, address -> secret, executor, traffic);
    }

    /**
     * Creates a client for entries that have a secret each.
     *
     * @param self this entry
     * @param secrets the secret of an entry
     * @param executor where answers are read
     * @param traffic counts what is sent
     */
    public PeerClient(
            Incarnation self, Function<PeerAddress, PeerSecret> secrets, Executor executor, PeerTraffic traffic) {
        this.self = self;
        this.secrets = secrets;
        this.executor = executor;
        this.traffic = traffic;
        QueuedThreadPool own = new QueuedThreadPool(MAX_THREADS, 1);
        own.setDaemon(true);
        connector.setExecutor(own);
        connector.setSelectors(1);
        connector.setConnectTimeout(CONNECT_TIMEOUT);
        connector.setIdleTimeout(Duration.ZERO);
        try {
            connector.start();
        } catch (Exception e) {
            throw new IllegalStateException("the client for other entries did not start", e);
        }
    }

    /**
     * Asks an entry. A connection on which an answer stays out is not used for further questions, because it may have gone
     * silent for good; questions that still wait on it are not affected.
     *
     * @param address where it listens
     * @param ask the question
     * @param timeout how long to wait for the answer
     * @return the answer; fails with {@link PeerUnreachableException} if the question was surely not sent, else with
     *     {@link java.io.IOException} or {@link java.util.concurrent.TimeoutException}
     */
    public CompletableFuture<PeerMessage> ask(PeerAddress address, PeerMessage ask, Duration timeout) {
        PeerLink link = links.compute(address, (a, known) -> known != null && known.begin() ? known : dial(a));
        return link.opened()
                .thenCompose(c -> c.ask(ask, traffic))
                .orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
                .whenComplete((answer, failure) -> {
                    if (failure instanceof TimeoutException) {
                        links.remove(address, link);
                        link.retire();
                    }
                    link.end();
                });
    }

    /**
     * Uses the connection to an entry, if there is one, for no further questions.
     *
     * @param address where it listens
     */
    public void disconnect(PeerAddress address) {
        PeerLink link = links.remove(address);
        if (link != null) {
            link.retire();
        }
    }

    private PeerLink dial(PeerAddress address) {
        PeerLink link = new PeerLink();
        link.begin();
        Map<String, Object> context = new HashMap<>();
        ClientConnectionFactory factory =
                (endPoint, c) -> new DialedConnection(endPoint, executor, self, secrets.apply(address));
        context.put(ClientConnectionFactory.CONTEXT_KEY, factory);
        context.put(Transport.class.getName(), Transport.TCP_IP);
        context.put(
                ClientConnector.CONNECTION_PROMISE_CONTEXT_KEY,
                Promise.<Connection>from(c -> awaitProof(link, address, (DialedConnection) c), e -> link.opened()
                        .completeExceptionally(unreachable(address, e))));
        connector.connect(new InetSocketAddress(address.host(), address.port()), context);
        return link;
    }

    private static void awaitProof(PeerLink link, PeerAddress address, DialedConnection connection) {
        connection
                .proven()
                .orTimeout(PROOF_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .whenComplete((proven, failure) -> {
                    if (failure == null) {
                        link.opened().complete(connection);
                        return;
                    }
                    connection.close();
                    link.opened().completeExceptionally(unreachable(address, failure));
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
            throw new IllegalStateException("the client for other entries did not stop", e);
        }
    }
}
