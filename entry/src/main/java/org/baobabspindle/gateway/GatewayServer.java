package org.baobabspindle.gateway;

import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import org.baobabspindle.port.GatewaySettings;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
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

/** The HTTP server and client of an entry, set for a small instance: one selector each, shared threads. */
final class GatewayServer {
    /** New connections that wait to be accepted; a zone's callers may all come at once when an entry is gone. */
    private static final int ACCEPT_QUEUE_SIZE = 512;

    /** Longer than callers keep idle connections, so that it is they who close them. */
    private static final Duration CALLER_IDLE_TIMEOUT = Duration.ofSeconds(60);

    /** A connection to a backend server that is not open by then is taken for lost. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(600);

    /** Bounds a call whose own limits failed to end it; longer than any route waits. */
    private static final Duration CLIENT_IDLE_TIMEOUT = Duration.ofSeconds(20);

    /** Connections to one backend server; more than its slots, since a cancelled call takes a moment to close. */
    private static final int MAX_CONNECTIONS_PER_SERVER = 64;

    /** The longest head of an answer, in bytes; a head without end is ended there. */
    static final int MAX_HEAD_BYTES = 32 * 1024;

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
        ServerConnector connector = new ServerConnector(server, 0, 1, new HttpConnectionFactory(http)) {
            @Override
            protected SocketChannelEndPoint newEndPoint(
                    SocketChannel channel, ManagedSelector selector, SelectionKey key) {
                PeekingEndPoint endPoint = new PeekingEndPoint(channel, selector, key, getScheduler());
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

    /** Starts a client for backend servers and the store that decodes nothing and follows nothing. */
    static HttpClient startClient(QueuedThreadPool threads) throws Exception {
        ClientConnector connector = new ClientConnector() {
            @Override
            protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
                return new ResetAwareEndPoint((SocketChannel) channel, selector, key, getScheduler());
            }
        };
        connector.setSelectors(1);
        HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(connector));
        client.setExecutor(threads);
        client.setConnectTimeout(CONNECT_TIMEOUT.toMillis());
        client.setIdleTimeout(CLIENT_IDLE_TIMEOUT.toMillis());
        client.setMaxConnectionsPerDestination(MAX_CONNECTIONS_PER_SERVER);
        client.setMaxResponseHeadersSize(MAX_HEAD_BYTES);
        client.setFollowRedirects(false);
        client.setUserAgentField(null);
        client.setDefaultRequestContentType(null);
        client.start();
        client.getContentDecoderFactories().clear();
        client.getProtocolHandlers().clear();
        return client;
    }
}
