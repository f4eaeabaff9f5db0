package org.baobabspindle.http;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.eclipse.jetty.client.DuplexConnectionPool;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Makes the HTTP clients of an entry. */
public final class HttpClients {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final int MAX_CONNECTIONS = 256;
    private static final int MAX_THREADS = 32;

    private HttpClients() {}

    /**
     * Starts a client that keeps connections for further requests.
     *
     * @param name the name of its threads
     * @return the started client
     */
    public static HttpClient pooled(String name) {
        return start(name, Integer.MAX_VALUE);
    }

    /**
     * Starts a client that opens a connection for each request. A request whose connection cannot be opened was surely
     * not handed over, and no request is written to a connection that the other side is closing.
     *
     * @param name the name of its threads
     * @return the started client
     */
    public static HttpClient unpooled(String name) {
        return start(name, 1);
    }

    /**
     * Counts the bytes that a client has sent and received.
     *
     * @param client a client made here
     * @return the bytes of both directions, without those of TCP and IP
     */
    public static long bytesTransferred(HttpClient client) {
        return client.getBean(ByteCounter.class).total();
    }

    /** Counts the bytes of the connections of a client, open ones included. */
    private static final class ByteCounter implements Connection.Listener {
        private final Set<Connection> open = ConcurrentHashMap.newKeySet();
        private final LongAdder closed = new LongAdder();

        @Override
        public void onOpened(Connection connection) {
            open.add(connection);
        }

        @Override
        public void onClosed(Connection connection) {
            open.remove(connection);
            closed.add(bytes(connection));
        }

        long total() {
            return closed.sum() + open.stream().mapToLong(ByteCounter::bytes).sum();
        }

        private static long bytes(Connection connection) {
            return Math.max(0, connection.getBytesIn()) + Math.max(0, connection.getBytesOut());
        }
    }

    private static HttpClient start(String name, int maxUsage) {
        HttpClient client = new HttpClient();
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, 2);
        threads.setName(name);
        threads.setDaemon(true);
        client.setExecutor(threads);
        client.setConnectTimeout(CONNECT_TIMEOUT.toMillis());
        client.setFollowRedirects(false);
        client.setUserAgentField(null);
        client.setMaxConnectionsPerDestination(MAX_CONNECTIONS);
        client.getHttpClientTransport().setConnectionPoolFactory(destination -> {
            DuplexConnectionPool pool = new DuplexConnectionPool(destination, MAX_CONNECTIONS);
            pool.setMaxUsage(maxUsage);
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
