package org.baobabspindle.lab;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;

/** A serving group in simulated time: it batches, slows down under load, caches prefixes and reports its load late. */
final class ModelGroup {
    /** The time between tokens of a request that runs alone, in seconds. */
    static final double TOKEN_SECONDS = 0.03;

    private static final double PREFILL_SECONDS = 0.2;
    private static final double CACHED_PREFILL_SECONDS = 0.04;
    private static final double SLOWDOWN_PER_RUNNING = 1.0 / 40;
    private static final int CACHED_PREFIXES = 60;

    private final double factor;
    private final double reportLag;
    private final Map<Integer, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Integer, Boolean> eldest) {
            return size() > CACHED_PREFIXES;
        }
    };
    private final ArrayDeque<double[]> changes = new ArrayDeque<>();
    private int running;
    private int shown;

    ModelGroup(double factor, double reportLag) {
        this.factor = factor;
        this.reportLag = reportLag;
    }

    /** How a request is served. */
    record Service(double firstTokenSeconds, double betweenSeconds, boolean hit) {}

    Service start(double now, int prefix, int tokens) {
        running++;
        changes.add(new double[] {now, running});
        boolean hit = cache.put(prefix, tokens > 0) != null;
        double slowdown = factor * (1 + running * SLOWDOWN_PER_RUNNING);
        double prefill = hit ? CACHED_PREFILL_SECONDS : PREFILL_SECONDS;
        return new Service(prefill * slowdown, TOKEN_SECONDS * slowdown, hit);
    }

    void end(double now) {
        running--;
        changes.add(new double[] {now, running});
    }

    /** Returns the load as it was some time ago. */
    int reported(double now) {
        while (!changes.isEmpty() && changes.peekFirst()[0] <= now - reportLag) {
            shown = (int) changes.removeFirst()[1];
        }
        return shown;
    }
}
