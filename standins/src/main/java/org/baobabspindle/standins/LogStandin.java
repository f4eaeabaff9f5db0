package org.baobabspindle.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Stand-in for the log service. {@code POST /append} appends the records of a body {@code {"records": [text]}}.
 * {@code GET /read} returns at most {@code max} records from offset {@code from} on and waits up to {@code waitMillis}
 * milliseconds for the first one. A read from an offset before the first retained record gets 410.
 */
public final class LogStandin implements AutoCloseable {
    private static final int MAX_READ_RECORDS = 5_000;

    private final Faults faults = new Faults();
    private final List<String> records = new ArrayList<>();
    private final int maxRecords;
    private final StandinServer server;
    private long firstOffset;

    private LogStandin(String host, int port, int maxRecords) throws Exception {
        this.maxRecords = maxRecords;
        this.server = StandinServer.start(host, port, faults, Map.of("/append", this::append, "/read", this::read));
    }

    /**
     * Starts a log stand-in.
     *
     * @param host the IP address to listen on
     * @param port the TCP port; 0 selects a free one
     * @param maxRecords the number of records to retain; older ones are discarded
     * @return the running stand-in
     * @throws Exception if it cannot listen
     */
    public static LogStandin start(String host, int port, int maxRecords) throws Exception {
        return new LogStandin(host, port, maxRecords);
    }

    /**
     * Returns the port that the stand-in listens on.
     *
     * @return the TCP port
     */
    public int port() {
        return server.port();
    }

    private void append(Exchange exchange) throws IOException {
        JsonNode body = exchange.readBody();
        synchronized (records) {
            long offset = firstOffset + records.size();
            body.path("records").forEach(record -> records.add(record.asText()));
            while (records.size() > maxRecords) {
                records.remove(0);
                firstOffset++;
            }
            records.notifyAll();
            exchange.respond(200, Map.of("offset", offset, "head", firstOffset + records.size()));
        }
    }

    private void read(Exchange exchange) throws IOException, InterruptedException {
        long from = exchange.queryLong("from", 0);
        long max = Math.min(MAX_READ_RECORDS, exchange.queryLong("max", MAX_READ_RECORDS));
        long deadline = System.nanoTime() + exchange.queryLong("waitMillis", 0) * 1_000_000;
        synchronized (records) {
            while (from >= firstOffset + records.size() && System.nanoTime() < deadline) {
                records.wait(Math.max(1, (deadline - System.nanoTime()) / 1_000_000));
            }
            long head = firstOffset + records.size();
            if (from < firstOffset) {
                exchange.respond(410, Map.of("first", firstOffset, "head", head));
                return;
            }
            int start = (int) Math.min(records.size(), from - firstOffset);
            int end = (int) Math.min(records.size(), start + max);
            exchange.respond(
                    200,
                    Map.of("first", firstOffset, "head", head, "records", List.copyOf(records.subList(start, end))));
        }
    }

    @Override
    public void close() {
        server.close();
    }
}
