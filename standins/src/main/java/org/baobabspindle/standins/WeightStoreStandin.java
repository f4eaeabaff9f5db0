package org.baobabspindle.standins;

import java.io.IOException;
import java.util.Map;

/**
 * Stand-in for the weight store. {@code GET /weights} responds when the simulated read of one model part is complete.
 * The reads are served one after another at the total rate of the store.
 */
public final class WeightStoreStandin implements AutoCloseable {
    private final Faults faults = new Faults();
    private final long nanosPerPart;
    private final StandinServer server;
    private long busyUntil = System.nanoTime();

    private WeightStoreStandin(String host, int port, double partsPerSecond) throws Exception {
        this.nanosPerPart = (long) (1e9 / partsPerSecond);
        this.server = StandinServer.start(host, port, faults, Map.of("/weights", this::readPart));
    }

    /**
     * Starts a weight store stand-in.
     *
     * @param host the IP address to listen on
     * @param port the TCP port; 0 selects a free one
     * @param partsPerSecond the total rate of all readers, in model parts per second
     * @return the running stand-in
     * @throws Exception if it cannot listen
     */
    public static WeightStoreStandin start(String host, int port, double partsPerSecond) throws Exception {
        return new WeightStoreStandin(host, port, partsPerSecond);
    }

    /**
     * Returns the port that the stand-in listens on.
     *
     * @return the TCP port
     */
    public int port() {
        return server.port();
    }

    private void readPart(Exchange exchange) throws IOException, InterruptedException {
        long completedAt;
        synchronized (this) {
            busyUntil = Math.max(busyUntil, System.nanoTime()) + nanosPerPart;
            completedAt = busyUntil;
        }
        long waitMillis = (completedAt - System.nanoTime()) / 1_000_000;
        if (waitMillis > 0) {
            Thread.sleep(waitMillis);
        }
        exchange.respond(200, Map.of("read", true));
    }

    @Override
    public void close() {
        server.close();
    }
}
