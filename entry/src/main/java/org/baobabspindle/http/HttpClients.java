package org.baobabspindle.http;

import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.eclipse.jetty.client.DuplexConnectionPool;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Creates the HTTP clients of an entry. */
public final class HttpClients {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final int MAX_CONNECTIONS_PER_DESTINATION = 256;
    private static final int MAX_THREADS = 32;

    private HttpClients() {}

    /**
     * Starts a client that reuses connections.
     *
     * @param name the name of the client's threads
     * @return the started client
     */
    public static HttpClient pooled(String name) {
        return start(name, Integer.MAX_VALUE);
    }

    /**
     * Starts a client that opens a connection for each request. If the connection cannot be opened, the request was certainly
     * not sent; and no request is written to a kept connection that the other side is just closing.
     *
     * @param name the name of the client's threads
     * @return the started client
     */
    public static HttpClient unpooled(String name) {
        return start(name, 1);
    }

    /**
     * Returns the number of bytes that a client has sent and received.
     *
     * @param client a client that this class has started
     * @return the bytes of both directions, without the overhead of TCP and IP
     */
    public static long bytesTransferred(HttpClient client) {
        return client.getBean(ByteCounter.class).total();
    }

    /** Counts the bytes of all connections of a client, both open and closed. */
    private static final class ByteCounter implements Connection.Listener {
        private final Set<Connection> openConnections = ConcurrentHashMap.newKeySet();
        private final LongAdder closedBytes = new LongAdder();

        @Override
        public void onOpened(Connection connection) {
            openConnections.add(connection);
        }

        @Override
        public void onClosed(Connection connection) {
            openConnections.remove(connection);
            closedBytes.add(bytes(connection));
        }

        long total() {
            return closedBytes.sum()
                    + openConnections.stream().mapToLong(ByteCounter::bytes).sum();
        }

        private static long bytes(Connection connection) {
            return Math.max(0, connection.getBytesIn()) + Math.max(0, connection.getBytesOut());
        }
    }

    private static HttpClient start(String name, int maxRequestsPerConnection) {
        ClientConnector connector = new ClientConnector() {
            @Override
            protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
                return new ResetAwareEndPoint((SocketChannel) channel, selector, key, getScheduler());
            }
        };
        HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(connector));
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, 2);
        threads.setName(name);
        threads.setDaemon(true);
        client.setExecutor(threads);
        // If a connection fails while its input is parsed, Jetty clears a buffer that it has already released. The next
        // user of the buffer would lose what it received.
        client.setByteBufferPool(new ByteBufferPool.NonPooling());
        client.setUseInputDirectByteBuffers(false);
        client.setUseOutputDirectByteBuffers(false);
        client.setConnectTimeout(CONNECT_TIMEOUT.toMillis());
        client.setFollowRedirects(false);
        client.setHttpCookieStore(new HttpCookieStore.Empty());
        client.setUserAgentField(null);
        client.setMaxConnectionsPerDestination(MAX_CONNECTIONS_PER_DESTINATION);
        client.getHttpClientTransport().setConnectionPoolFactory(destination -> {
            DuplexConnectionPool pool = new DuplexConnectionPool(destination, MAX_CONNECTIONS_PER_DESTINATION);
            pool.setMaxUsage(maxRequestsPerConnection);
            return pool;
        });
        client.addBean(new ByteCounter());
        try {
            client.start();
        } catch (Exception e) {
            throw new IllegalStateException("the HTTP client did not start", e);
        }
        return client;
    }
}
