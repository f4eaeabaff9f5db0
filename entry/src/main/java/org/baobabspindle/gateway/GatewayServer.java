package org.baobabspindle.gateway;

import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import org.baobabspindle.port.GatewaySettings;
import org.baobabspindle.port.MeteredConnection;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.ConnectionPool;
import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.client.DuplexConnectionPool;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** The HTTP server and client of an entry, sized for a small instance: one selector each and a shared thread pool. */
final class GatewayServer {
    /**
     * The limit of connections waiting to be accepted; all callers of a zone may reconnect at once when an entry is
     * lost.
     */
    private static final int ACCEPT_QUEUE_SIZE = 512;

    /** Longer than callers keep idle connections, so that connections are closed by the callers. */
    private static final Duration CALLER_IDLE_TIMEOUT = Duration.ofSeconds(60);

    /** The timeout after which an attempt to connect to a backend server counts as failed. */
    static final Duration CONNECT_TIMEOUT = Duration.ofMillis(600);

    /** Ends a call whose own timeouts failed to do so; longer than the timeout of any route. */
    private static final Duration CLIENT_IDLE_TIMEOUT = Duration.ofSeconds(20);

    /** The tag of requests that get a connection of their own, which is not used again. */
    static final Object SINGLE_USE = "single-use";

    /**
     * More connections than a backend server has slots, since the connection of a cancelled call takes a moment to
     * close.
     */
    private static final int MAX_CONNECTIONS_PER_SERVER = 64;

    /**
     * The maximum size of the request line and headers, in bytes. It bounds memory and exceeds the limit of any
     * configuration, which callers respect.
     */
    private static final int MAX_REQUEST_HEADER_BYTES = 64 * 1024;

    /** Leaves room for the headers that this entry adds to those of a caller. */
    private static final int MAX_FORWARDED_HEADER_BYTES = MAX_REQUEST_HEADER_BYTES + 4 * 1024;

    /** The maximum size of the response headers, in bytes; a call whose headers exceed it fails. */
    static final int MAX_RESPONSE_HEADER_BYTES = 32 * 1024;

    /** Leaves room for the headers that this entry adds to those of a backend server. */
    private static final int MAX_RETURNED_HEADER_BYTES = MAX_RESPONSE_HEADER_BYTES + 4 * 1024;

    private final Server server;

    GatewayServer(GatewaySettings settings, QueuedThreadPool threads) {
        server = new Server(threads);
        GatewaySettings.Listeners ports = settings.listeners();
        addConnector(settings.host(), ports.callers());
        addConnector(settings.host(), ports.readiness());
        addConnector(settings.host(), ports.directory());
        ports.metrics().ifPresent(p -> addConnector(settings.host(), p));
    }

    private void addConnector(String host, int port) {
        HttpConfiguration http = new HttpConfiguration();
        http.setSendServerVersion(false);
        http.setSendDateHeader(false);
        http.setRequestHeaderSize(MAX_REQUEST_HEADER_BYTES);
        http.setMaxResponseHeaderSize(MAX_RETURNED_HEADER_BYTES);
        ServerConnector connector = new ServerConnector(server, 0, 1, new HttpConnectionFactory(http)) {
            @Override
            protected SocketChannelEndPoint newEndPoint(
                    SocketChannel channel, ManagedSelector selector, SelectionKey key) {
                PeekingEndPoint endPoint = new PeekingEndPoint(channel, selector, key, getScheduler(), getExecutor());
                endPoint.setIdleTimeout(getIdleTimeout());
                return endPoint;
            }
        };
        connector.setHost(host);
        connector.setPort(port);
        connector.setAcceptQueueSize(ACCEPT_QUEUE_SIZE);
        connector.setIdleTimeout(CALLER_IDLE_TIMEOUT.toMillis());
        server.addConnector(connector);
    }

    void stop() throws Exception {
        server.stop();
    }

    void start(Handler handler) throws Exception {
        server.setHandler(handler);
        server.start();
    }

    /**
     * Starts a client for backend servers and the store that neither decodes content nor follows redirects, and keeps no
     * cookies: requests of different callers share it. Requests with the tag {@link #SINGLE_USE} get a new connection each.
     */
    static HttpClient startClient(QueuedThreadPool threads) throws Exception {
        return startClient(
                threads, d -> d.getOrigin().getTag() == SINGLE_USE ? singleUsePool(d) : new ConnectionPoolOfServer(d));
    }

    /** Starts a client that uses a new connection for each request. */
    static HttpClient startSingleUseClient(QueuedThreadPool threads) throws Exception {
        return startClient(threads, GatewayServer::singleUsePool);
    }

    private static ConnectionPool singleUsePool(Destination destination) {
        DuplexConnectionPool pool = new ConnectionPoolOfServer(destination);
        pool.setMaxUsage(1);
        return pool;
    }

    /** The connections to one server; closes those that must not be used again. */
    private static final class ConnectionPoolOfServer extends DuplexConnectionPool {
        ConnectionPoolOfServer(Destination destination) {
            super(destination, MAX_CONNECTIONS_PER_SERVER);
        }

        @Override
        public boolean release(Connection connection) {
            boolean reusable = MeteredConnection.of(connection)
                    .map(MeteredConnection::isReusable)
                    .orElse(true);
            if (reusable) {
                return super.release(connection);
            }
            remove(connection);
            return false;
        }
    }

    private static HttpClient startClient(QueuedThreadPool threads, ConnectionPool.Factory pools) throws Exception {
        ClientConnector connector = new ClientConnector() {
            @Override
            protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
                return new MeteredEndPoint((SocketChannel) channel, selector, key, getScheduler());
            }
        };
        connector.setSelectors(1);
        HttpClientTransportOverHTTP transport = new HttpClientTransportOverHTTP(connector);
        transport.setConnectionPoolFactory(pools);
        HttpClient client = new HttpClient(transport);
        client.setExecutor(threads);
        // Jetty's client may return a buffer to its pool while a connection that fails still uses it. The next user of
        // the buffer would then lose what it received, or receive the bytes of another response.
        client.setByteBufferPool(new ByteBufferPool.NonPooling());
        client.setUseInputDirectByteBuffers(false);
        client.setUseOutputDirectByteBuffers(false);
        client.setConnectTimeout(CONNECT_TIMEOUT.toMillis());
        client.setIdleTimeout(CLIENT_IDLE_TIMEOUT.toMillis());
        client.setMaxConnectionsPerDestination(MAX_CONNECTIONS_PER_SERVER);
        client.setMaxRequestHeadersSize(MAX_FORWARDED_HEADER_BYTES);
        client.setMaxResponseHeadersSize(MAX_RESPONSE_HEADER_BYTES);
        client.setFollowRedirects(false);
        client.setHttpCookieStore(new HttpCookieStore.Empty());
        client.setUserAgentField(null);
        client.setDefaultRequestContentType(null);
        client.getRequestListeners()
                .addBeginListener(r -> MeteredConnection.of(r).ifPresent(MeteredConnection::callBegan));
        client.start();
        client.getContentDecoderFactories().clear();
        client.getProtocolHandlers().clear();
        client.getProtocolHandlers().put(new InterimResponseHandler());
        return client;
    }
}
