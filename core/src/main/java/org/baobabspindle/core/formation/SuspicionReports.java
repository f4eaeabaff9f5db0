package org.baobabspindle.core.formation;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.time.Moment;

/**
 * Collects reports of entries that an engine is unresponsive. Reports of two entries confirm each other; a single entry
 * may itself have lost its connection.
 */
public final class SuspicionReports {
    /** Entries detect the same failure within this time: the time until an engine is suspected, and one probe. */
    private static final Duration CONFIRMATION_WINDOW = Duration.ofMillis(1_500);

    private final Map<BackendServer.Lifetime, Report> latest = new HashMap<>();

    /** Creates a collection without reports. */
    public SuspicionReports() {}

    private record Report(InstanceId by, Moment at) {}

    /**
     * Records that an engine does not answer an entry.
     *
     * @param engine the engine
     * @param by the entry
     * @param now the current time
     * @return whether another entry has recently reported the same engine
     */
    public synchronized boolean report(BackendServer.Lifetime engine, InstanceId by, Moment now) {
        Report previous = latest.put(engine, new Report(by, now));
        latest.values().removeIf(r -> r.at().plus(CONFIRMATION_WINDOW).isBefore(now));
        return previous != null
                && !previous.by().equals(by)
                && now.isBefore(previous.at().plus(CONFIRMATION_WINDOW));
    }
}
