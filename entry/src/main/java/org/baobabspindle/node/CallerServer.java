package org.baobabspindle.node;

import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.baobabspindle.caller.EntryHandler;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** The HTTP server for callers and operators. */
final class CallerServer implements AutoCloseable {
    private static final int MAX_THREADS = 256;
    private static final int MAX_HEADER_BYTES = 16 * 1024;

    private final Server server;
    private final ServerConnector connector;

    private CallerServer(Server server, ServerConnector connector) {
        this.server = server;
        this.connector = connector;
    }

    /** Binds the port, so that its number is known; connections wait in the backlog until {@link #start}. */
    static CallerServer listen(String host, int port) throws Exception {
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, 4);
        threads.setName("callers");
        threads.setDaemon(true);
        Server server = new Server(threads);
        HttpConfiguration http = new HttpConfiguration();
        http.setSendServerVersion(false);
        http.setRequestHeaderSize(MAX_HEADER_BYTES);
        ServerConnector connector = new ServerConnector(server, 1, 2, new HttpConnectionFactory(http));
        connector.setHost(host);
        connector.setPort(port);
        connector.open();
        server.addConnector(connector);
        return new CallerServer(server, connector);
    }

    /** Sets the endpoints and the counter of requests in progress. */
    void setEndpoints(Map<String, EntryHandler.Endpoint> endpoints, AtomicInteger inProgress) {
        server.setHandler(new InProgressCounter(new EntryHandler(endpoints), inProgress));
    }

    void start() throws Exception {
        server.start();
    }

    int port() {
        return connector.getLocalPort();
    }

    @Override
    public void close() {
        try {
            server.stop();
        } catch (Exception e) {
            throw new IllegalStateException("the HTTP server for callers did not stop", e);
        }
    }

    private static final class InProgressCounter extends Handler.Wrapper {
        private final AtomicInteger inProgress;

        InProgressCounter(Handler handler, AtomicInteger inProgress) {
            super(handler);
            this.inProgress = inProgress;
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) throws Exception {
            inProgress.incrementAndGet();
            try {
                return super.handle(request, response, callback);
            } finally {
                inProgress.decrementAndGet();
            }
        }
    }
}
