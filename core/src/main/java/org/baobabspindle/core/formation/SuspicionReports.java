package org.baobabspindle.core.formation;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.time.Moment;

/** Collects which entries an engine does not answer. Two of them are enough, since one alone may itself be cut off. */
public final class SuspicionReports {
    /** Entries that notice the same loss do so within this time: the silence that raises a doubt, and one probe. */
    private static final Duration TOGETHER = Duration.ofMillis(1_500);

    private final Map<BackendServer.Lifetime, Testimony> testimonies = new HashMap<>();

    /** Creates a collection without testimonies. */
    public SuspicionReports() {}

    private record Testimony(InstanceId by, Moment at) {}

    /**
     * Notes that an engine does not answer an entry.
     *
     * @param engine the engine
     * @param by the entry
     * @param now the present time
     * @return whether another entry said the same shortly before
     */
    public synchronized boolean report(BackendServer.Lifetime engine, InstanceId by, Moment now) {
        Testimony before = testimonies.put(engine, new Testimony(by, now));
        testimonies.values().removeIf(t -> t.at().plus(TOGETHER).isBefore(now));
        return before != null
                && !before.by().equals(by)
                && now.isBefore(before.at().plus(TOGETHER));
    }
}
