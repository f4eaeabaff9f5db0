package org.baobabspindle.lab;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;

/** A simulated serving group that batches, slows down under load, caches prefixes and reports its load with a delay. */
final class SimulatedGroup {
    /** Seconds between two tokens of a request that runs alone on a group of normal speed. */
    static final double TOKEN_SECONDS = 0.03;

    private static final double PREFILL_SECONDS = 0.2;
    private static final double CACHED_PREFILL_SECONDS = 0.04;
    private static final double SLOWDOWN_PER_RUNNING = 1.0 / 40;
    private static final int CACHED_PREFIXES = 60;

    private final double slowdownFactor;
    private final double reportLagSeconds;
    private final Map<Integer, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Integer, Boolean> eldest) {
            return size() > CACHED_PREFIXES;
        }
    };
    private final ArrayDeque<double[]> loadChanges = new ArrayDeque<>();
    private int running;
    private int reportedLoad;

    SimulatedGroup(double slowdownFactor, double reportLagSeconds) {
        this.slowdownFactor = slowdownFactor;
        this.reportLagSeconds = reportLagSeconds;
    }

    /** The latencies of a request, and whether its prefix was in the cache. */
    record ServiceTimes(double firstTokenSeconds, double secondsBetweenTokens, boolean cacheHit) {}

    /** Starts a request at the given time and returns its latencies under the load it meets. */
    ServiceTimes startRequest(double now, int prefix, int tokens) {
        running++;
        loadChanges.add(new double[] {now, running});
        boolean cacheHit = cache.put(prefix, tokens > 0) != null;
        double slowdown = slowdownFactor * (1 + running * SLOWDOWN_PER_RUNNING);
        double prefill = cacheHit ? CACHED_PREFILL_SECONDS : PREFILL_SECONDS;
        return new ServiceTimes(prefill * slowdown, TOKEN_SECONDS * slowdown, cacheHit);
    }

    void finishRequest(double now) {
        running--;
        loadChanges.add(new double[] {now, running});
    }

    /** Returns the running requests as of the report lag before the given time. */
    int reportedLoadAt(double now) {
        while (!loadChanges.isEmpty() && loadChanges.peekFirst()[0] <= now - reportLagSeconds) {
            reportedLoad = (int) loadChanges.removeFirst()[1];
        }
        return reportedLoad;
    }
}
