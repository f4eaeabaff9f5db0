package org.baobabspindle.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in for a plain service. {@code POST /bookings} runs a booking and counts the runs of its reference,
 * {@code GET /bookings} returns the counts, {@code POST /leave} marks the service as leaving and {@code GET /status}
 * returns whether it is leaving.
 */
public final class ServiceStandin implements AutoCloseable {
    private final Faults faults = new Faults();
    private final Map<String, Integer> runCounts = new TreeMap<>();
    private final StandinServer server;
    private final String id;
    private final long incarnation;
    private volatile boolean leaving;

    private ServiceStandin(String host, int port, String id) throws Exception {
        this.id = id;
        this.incarnation = System.currentTimeMillis();
        this.server = StandinServer.start(
                host,
                port,
                faults,
                Map.of("/bookings", this::handleBookings, "/status", this::getStatus, "/leave", this::leave));
    }

    /**
     * Starts a plain service stand-in.
     *
     * @param host the IP address to listen on
     * @param port the TCP port; 0 selects a free one
     * @param id the id of the instance
     * @return the running stand-in
     * @throws Exception if it cannot listen
     */
    public static ServiceStandin start(String host, int port, String id) throws Exception {
        return new ServiceStandin(host, port, id);
    }

    /**
     * Returns the port that the stand-in listens on.
     *
     * @return the TCP port
     */
    public int port() {
        return server.port();
    }

    /**
     * Returns the entry of this service in the instance list.
     *
     * @param service the name of the service
     * @param host the IP address that the service listens on
     * @param zone the availability zone
     * @param region the region
     * @return the instance as JSON
     */
    public ObjectNode toInstanceJson(String service, String host, String zone, String region) {
        return Exchange.JSON
                .createObjectNode()
                .put("id", id)
                .put("incarnation", incarnation)
                .put("kind", "service")
                .put("name", service)
                .put("host", host)
                .put("port", port())
                .put("zone", zone)
                .put("region", region);
    }

    /**
     * Returns how many times each booking ran.
     *
     * @return an unmodifiable snapshot of the run counts by booking reference
     */
    public Map<String, Integer> runCounts() {
        synchronized (runCounts) {
            return Map.copyOf(runCounts);
        }
    }

    private void handleBookings(Exchange exchange) throws IOException {
        if (exchange.method().equals("GET")) {
            exchange.respond(200, runCounts());
            return;
        }
        JsonNode booking = exchange.readBody();
        String reference = booking.path("reference").asText("none");
        int count;
        synchronized (runCounts) {
            count = runCounts.merge(reference, 1, Integer::sum);
        }
        exchange.respond(200, Map.of("reference", reference, "run", count, "by", id));
    }

    private void getStatus(Exchange exchange) throws IOException {
        exchange.respond(200, Map.of("id", id, "incarnation", incarnation, "leaving", leaving));
    }

    private void leave(Exchange exchange) throws IOException {
        leaving = true;
        exchange.respond(200, Map.of("leaving", true));
    }

    @Override
    public void close() {
        server.close();
    }
}
