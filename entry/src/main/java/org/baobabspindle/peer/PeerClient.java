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

/** Asks other entries, over one connection to each that is opened when first needed. */
public final class PeerClient implements AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    private final Incarnation self;
    private final Function<PeerAddress, PeerSecret> secrets;
    private final Executor executor;
    private final PeerTraffic traffic;
    private final ClientConnector connector = new ClientConnector();
    private final Map<PeerAddress, CompletableFuture<DialedConnection>> connections = new ConcurrentHashMap<>();

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
        connector.setExecutor(executor);
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
     * Asks an entry. A connection on which an answer stays out is closed, because it may have gone silent for good.
     *
     * @param address where it listens
     * @param ask the question
     * @param timeout how long to wait for the answer
     * @return the answer; fails with {@link PeerUnreachableException} if the question was surely not sent, else with
     *     {@link java.io.IOException} or {@link java.util.concurrent.TimeoutException}
     */
    public CompletableFuture<PeerMessage> ask(PeerAddress address, PeerMessage ask, Duration timeout) {
        CompletableFuture<DialedConnection> connection = connection(address);
        return connection
                .thenCompose(c -> c.ask(ask, traffic))
                .orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
                .whenComplete((answer, failure) -> {
                    if (failure instanceof TimeoutException) {
                        forget(address, connection);
                    }
                });
    }

    /**
     * Closes the connection to an entry, if there is one.
     *
     * @param address where it listens
     */
    public void disconnect(PeerAddress address) {
        CompletableFuture<DialedConnection> connection = connections.get(address);
        if (connection != null) {
            forget(address, connection);
        }
    }

    private void forget(PeerAddress address, CompletableFuture<DialedConnection> connection) {
        connections.remove(address, connection);
        connection.thenAccept(DialedConnection::close);
        connection.completeExceptionally(new PeerUnreachableException("no connection to " + address, null));
    }

    private CompletableFuture<DialedConnection> connection(PeerAddress address) {
        return connections.compute(address, (a, known) -> {
            boolean usable = known != null
                    && !known.isCompletedExceptionally()
                    && !(known.isDone() && known.join().closed());
            return usable ? known : open(a);
        });
    }

    private CompletableFuture<DialedConnection> open(PeerAddress address) {
        CompletableFuture<DialedConnection> opened = new CompletableFuture<>();
        Map<String, Object> context = new HashMap<>();
        ClientConnectionFactory factory =
                (endPoint, c) -> new DialedConnection(endPoint, executor, self, secrets.apply(address));
        context.put(ClientConnectionFactory.CONTEXT_KEY, factory);
        context.put(Transport.class.getName(), Transport.TCP_IP);
        context.put(
                ClientConnector.CONNECTION_PROMISE_CONTEXT_KEY,
                Promise.<Connection>from(
                        c -> ((DialedConnection) c).proven().whenComplete((p, e) -> settle(opened, address, p, e)),
                        e -> settle(opened, address, null, e)));
        connector.connect(new InetSocketAddress(address.host(), address.port()), context);
        return opened;
    }

    private static void settle(
            CompletableFuture<DialedConnection> opened, PeerAddress address, DialedConnection c, Throwable failure) {
        if (c != null) {
            if (!opened.complete(c)) {
                c.close();
            }
            return;
        }
        opened.completeExceptionally(
                new PeerUnreachableException("no connection to " + address + ": " + failure.getMessage(), failure));
    }

    @Override
    public void close() {
        connections.values().forEach(f -> f.thenAccept(DialedConnection::close));
        try {
            connector.stop();
        } catch (Exception e) {
            throw new IllegalStateException("the client for other entries did not stop", e);
        }
    }
}
