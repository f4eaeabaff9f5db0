package org.baobabspindle.standins;

import java.io.IOException;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * An HTTP server that routes by path prefix. {@code POST /switch} sets the {@link Faults} of the stand-in and is itself
 * exempt from them.
 */
final class StandinServer implements AutoCloseable {
    private static final int MAX_THREADS = 400;

    private final Server server;
    private final ServerConnector connector;

    /** Handles the requests of one path prefix. */
    interface Route {
        void handle(Exchange exchange) throws IOException, InterruptedException;
    }

    private StandinServer(Server server, ServerConnector connector) {
        this.server = server;
        this.connector = connector;
    }

    /** Starts a server. Port 0 selects a free port. */
    static StandinServer start(String host, int port, Faults faults, Map<String, Route> routes) throws Exception {
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, 4);
        threads.setDaemon(true);
        Server server = new Server(threads);
        HttpConfiguration http = new HttpConfiguration();
        http.setSendServerVersion(false);
        ServerConnector connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory(http));
        connector.setHost(host);
        connector.setPort(port);
        server.addConnector(connector);
        TreeMap<String, Route> allRoutes = new TreeMap<>(routes);
        allRoutes.put("/switch", exchange -> {
            faults.update(exchange.readBody());
            exchange.respond(200, Map.of("switched", true));
        });
        server.setHandler(new Router(faults, allRoutes));
        server.start();
        return new StandinServer(server, connector);
    }

    int port() {
        return connector.getLocalPort();
    }

    @Override
    public void close() {
        try {
            server.setStopTimeout(0);
            server.stop();
        } catch (Exception e) {
            throw new IllegalStateException("failed to stop the stand-in server", e);
        }
    }

    private static final class Router extends Handler.Abstract {
        private final Faults faults;
        private final NavigableMap<String, Route> routes;

        Router(Faults faults, NavigableMap<String, Route> routes) {
            this.faults = faults;
            this.routes = routes;
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) throws Exception {
            Exchange exchange = new Exchange(request, response);
            boolean isSwitch = exchange.path().equals("/switch");
            if (faults.isDown() && !isSwitch) {
                exchange.closeConnection();
                callback.failed(new IOException("connection closed by an injected fault"));
                return true;
            }
            if (!isSwitch && faults.delayMillis() > 0) {
                Thread.sleep(faults.delayMillis());
            }
            return handleRoute(exchange, isSwitch, callback);
        }

        private boolean handleRoute(Exchange exchange, boolean isSwitch, Callback callback)
                throws InterruptedException {
            try {
                findRoute(exchange.path()).handle(exchange);
                boolean hasEffect = !isSwitch && !exchange.method().equals("GET");
                if (hasEffect && faults.consumeLostResponse()) {
                    exchange.closeConnection();
                    callback.failed(new IOException("response lost by an injected fault"));
                    return true;
                }
                exchange.sendResponse();
                callback.succeeded();
            } catch (IOException e) {
                exchange.closeConnection();
                callback.failed(e);
            }
            return true;
        }

        private Route findRoute(String path) {
            for (Map.Entry<String, Route> route : routes.descendingMap().entrySet()) {
                if (path.startsWith(route.getKey())) {
                    return route.getValue();
                }
            }
            return exchange -> exchange.respond(404, Map.of("error", "no such path"));
        }
    }
}
