package org.baobabspindle.core.formation;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.time.Moment;

/**
 * Collects reports of entries that an engine is unresponsive. The reports of an entry that turns out to be partitioned
 * from the backend servers say nothing about the engines and are withdrawn.
 */
public final class SuspicionReports {
    /** Entries detect the same failure within this time: the time until an engine is suspected, and one probe. */
    private static final Duration VALIDITY = Duration.ofMillis(1_500);

    private final Map<BackendServer.Lifetime, Map<InstanceId, Moment>> reports = new HashMap<>();

    /** Creates a collection without reports. */
    public SuspicionReports() {}

    /**
     * Records that an engine does not answer an entry.
     *
     * @param engine the engine
     * @param by the entry
     * @param now the current time
     */
    public synchronized void report(BackendServer.Lifetime engine, InstanceId by, Moment now) {
        removeExpired(now);
        reports.computeIfAbsent(engine, e -> new HashMap<>()).put(by, now);
    }

    /**
     * Extends the validity of the reports of an engine that does not answer this entry either.
     *
     * @param engine the engine
     * @param now the current time
     */
    public synchronized void renew(BackendServer.Lifetime engine, Moment now) {
        removeExpired(now);
        reports.computeIfPresent(engine, (e, byEntry) -> {
            byEntry.replaceAll((by, at) -> now);
            return byEntry;
        });
    }

    /**
     * Withdraws all reports of an entry.
     *
     * @param by the entry
     */
    public synchronized void withdraw(InstanceId by) {
        reports.values().forEach(r -> r.remove(by));
    }

    /** Withdraws all reports. */
    public synchronized void withdrawAll() {
        reports.clear();
    }

    /**
     * Returns whether an engine is suspected.
     *
     * @param engine the engine
     * @param now the current time
     * @return whether an entry has recently reported the engine and has not withdrawn the report
     */
    public synchronized boolean isSuspected(BackendServer.Lifetime engine, Moment now) {
        removeExpired(now);
        return reports.containsKey(engine);
    }

    private void removeExpired(Moment now) {
        reports.values().forEach(r -> r.values().removeIf(at -> !now.isBefore(at.plus(VALIDITY))));
        reports.values().removeIf(Map::isEmpty);
    }
}
