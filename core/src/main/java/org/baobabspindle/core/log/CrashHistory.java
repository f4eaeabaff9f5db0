package org.baobabspindle.core.log;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.baobabspindle.core.id.GroupId;

/** How many groups have crashed with a request in flight, by the fingerprint of the request. */
public final class CrashHistory {
    /** The number of crashes after which a request is quarantined. */
    public static final int QUARANTINE_THRESHOLD = 2;

    private static final int MAX_REMEMBERED = 10_000;

    private final Map<String, Set<GroupId>> crashCount = new LinkedHashMap<>();

    CrashHistory() {}

    /**
     * Returns the number of groups that crashed with a request in flight.
     *
     * @param fingerprint the hash of the request
     * @return the number of crashes
     */
    public int crashCount(String fingerprint) {
        Set<GroupId> groups = crashCount.get(fingerprint);
        return groups == null ? 0 : groups.size();
    }

    /**
     * Returns the requests that are refused.
     *
     * @return the fingerprints with enough crashes, the oldest first
     */
    public List<String> quarantined() {
        return crashCount.keySet().stream()
                .filter(f -> crashCount(f) >= QUARANTINE_THRESHOLD)
                .toList();
    }

    Map<String, Set<GroupId>> all() {
        return crashCount;
    }

    Verdict recordCrash(String fingerprint, GroupId group) {
        boolean added =
                crashCount.computeIfAbsent(fingerprint, f -> new TreeSet<>()).add(group);
        if (crashCount.size() > MAX_REMEMBERED) {
            crashCount.remove(crashCount.keySet().iterator().next());
        }
        return added ? Verdict.ACCEPTED : Verdict.refused("the crash is recorded already");
    }
}
