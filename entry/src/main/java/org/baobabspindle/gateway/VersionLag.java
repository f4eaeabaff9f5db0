package org.baobabspindle.gateway;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.baobabspindle.core.time.Moment;

/**
 * Measures for how long an entry has followed an older version of the configuration than others, from the moment at which
 * it learned of a newer one. Guarded by the lock of the table.
 */
final class VersionLag {
    private final TreeMap<Long, Moment> missing = new TreeMap<>();

    /** Another entry follows a version that is newer than the own one. */
    void stated(long version, Moment now) {
        missing.putIfAbsent(version, now);
    }

    /** Returns for how long a version was missing that is now installed; empty if it is the first to learn of it. */
    Optional<Duration> installed(long version, Moment now) {
        Map<Long, Moment> ended = missing.headMap(version, true);
        Optional<Duration> lag = ended.values().stream().findFirst().map(now::since);
        ended.clear();
        return lag;
    }

    /** Returns for how long a newer version has been missing; zero if none is. */
    Duration current(Moment now) {
        return missing.isEmpty()
                ? Duration.ZERO
                : now.since(missing.firstEntry().getValue());
    }
}
