package org.baobabspindle.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in for the platform's instance list. {@code GET /instances} returns the list with a fixed lag, or 304 if the
 * {@code If-None-Match} header names the version that would be returned. {@code POST /register}, {@code /leaving} and
 * {@code /gone} add an instance, mark it as leaving and remove it.
 */
public final class InstanceListStandin implements AutoCloseable {
    private final Faults faults = new Faults();
    private final long lagNanos;
    private final Map<String, ObjectNode> instances = new TreeMap<>();
    private final ArrayDeque<Version> versions = new ArrayDeque<>();
    private final StandinServer server;
    private long changeCount;

    private record Version(long createdAt, long number, List<ObjectNode> instances) {}

    private InstanceListStandin(String host, int port, long lagMillis) throws Exception {
        this.lagNanos = lagMillis * 1_000_000;
        versions.add(new Version(System.nanoTime() - lagNanos, 0, List.of()));
        this.server = StandinServer.start(
                host,
                port,
                faults,
                Map.of(
                        "/instances", this::listInstances,
                        "/register", this::register,
                        "/leaving", this::markLeaving,
                        "/gone", this::remove));
    }

    /**
     * Starts an instance list stand-in.
     *
     * @param host the IP address to listen on
     * @param port the TCP port; 0 selects a free one
     * @param lagMillis the age of the list that is returned, in milliseconds
     * @return the running stand-in
     * @throws Exception if it cannot listen
     */
    public static InstanceListStandin start(String host, int port, long lagMillis) throws Exception {
        return new InstanceListStandin(host, port, lagMillis);
    }

    /**
     * Returns the port that the stand-in listens on.
     *
     * @return the TCP port
     */
    public int port() {
        return server.port();
    }

    private synchronized void register(Exchange exchange) throws IOException {
        ObjectNode instance = (ObjectNode) exchange.readBody();
        instances.put(instance.path("id").asText(), instance.put("leaving", false));
        addVersion(exchange);
    }

    private synchronized void markLeaving(Exchange exchange) throws IOException {
        JsonNode request = exchange.readBody();
        ObjectNode instance = instances.get(request.path("id").asText());
        if (instance != null) {
            instances.put(request.path("id").asText(), instance.deepCopy().put("leaving", true));
        }
        addVersion(exchange);
    }

    private synchronized void remove(Exchange exchange) throws IOException {
        instances.remove(exchange.readBody().path("id").asText());
        addVersion(exchange);
    }

    private void addVersion(Exchange exchange) throws IOException {
        changeCount++;
        versions.add(new Version(System.nanoTime(), changeCount, new ArrayList<>(instances.values())));
        exchange.respond(200, Map.of("changes", changeCount));
    }

    private synchronized void listInstances(Exchange exchange) throws IOException {
        long visibleUntil = System.nanoTime() - lagNanos;
        while (versions.size() > 1 && secondCreatedAt() <= visibleUntil) {
            versions.removeFirst();
        }
        Version version = versions.peekFirst();
        String etag = '"' + Long.toString(version.number()) + '"';
        exchange.setResponseHeader("ETag", etag);
        if (exchange.header("If-None-Match").filter(etag::equals).isPresent()) {
            exchange.respond(304, Map.of());
            return;
        }
        exchange.respond(200, Map.of("instances", version.instances()));
    }

    private long secondCreatedAt() {
        return versions.stream().skip(1).findFirst().orElseThrow().createdAt();
    }

    @Override
    public void close() {
        server.close();
    }
}
