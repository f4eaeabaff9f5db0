package org.baobabspindle.caller;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.concurrent.Semaphore;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Dispatches HTTP requests to endpoints by path and maps request errors to problem documents. */
public final class EntryHandler extends Handler.Abstract {
    private static final Logger LOGGER = System.getLogger(EntryHandler.class.getName());

    /** The part of the heap that responses may use which are collected until they are whole. */
    private static final double COLLECTED_SHARE_OF_HEAP = 0.25;

    private final NavigableMap<String, Endpoint> endpoints;
    private final Semaphore collectableBytes;

    /** Handles the requests whose paths start with one prefix. */
    public interface Endpoint {
        /**
         * Handles a request.
         *
         * @param exchange the request and its response
         * @throws IOException if the caller disconnected or the body is too large
         */
        void handle(HttpExchange exchange) throws IOException;
    }

    /**
     * Creates a handler.
     *
     * @param endpoints the endpoints by path prefix
     */
    public EntryHandler(Map<String, Endpoint> endpoints) {
        // The conversion limits the number to that of an int.
        this(endpoints, (int) (COLLECTED_SHARE_OF_HEAP * Runtime.getRuntime().maxMemory()));
    }

    EntryHandler(Map<String, Endpoint> endpoints, int maxCollectedBytes) {
        this.endpoints = new TreeMap<>(endpoints);
        this.collectableBytes = new Semaphore(maxCollectedBytes);
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        HttpExchange exchange = new HttpExchange(request, response, collectableBytes);
        try {
            handle(exchange);
            callback.succeeded();
        } catch (IOException e) {
            LOGGER.log(Level.DEBUG, "the response was not completed: {0}", e.getMessage());
            callback.failed(e);
        } catch (RuntimeException e) {
            LOGGER.log(Level.ERROR, "unexpected error while handling a request", e);
            callback.failed(e);
        } finally {
            exchange.release();
        }
        return true;
    }

    private void handle(HttpExchange exchange) throws IOException {
        Map.Entry<String, Endpoint> found = endpoints.floorEntry(exchange.path());
        while (found != null && !exchange.path().startsWith(found.getKey())) {
            found = endpoints.lowerEntry(found.getKey());
        }
        if (found == null) {
            exchange.respond(Problem.refused(404, "no such path: " + exchange.path()));
            return;
        }
        try {
            found.getValue().handle(exchange);
        } catch (HttpExchange.BodyTooLargeException e) {
            exchange.respond(Problem.refused(413, e.getMessage()));
        } catch (IllegalArgumentException e) {
            if (exchange.isResponseStarted()) {
                throw e;
            }
            exchange.respond(Problem.refused(400, String.valueOf(e.getMessage())));
        }
    }
}
