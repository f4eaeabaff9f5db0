package org.baobabspindle.core.log;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.baobabspindle.core.id.GroupId;

/** How many groups have crashed with a request in flight, by the fingerprint of the request. */
public final class Suspects {
    /** The number of crashes after which a request is quarantined. */
    public static final int QUARANTINE_CRASHES = 2;

    private static final int MAX_REMEMBERED = 10_000;

    private final Map<String, Set<GroupId>> crashes = new LinkedHashMap<>();

    Suspects() {}

    /**
     * Returns the number of groups that crashed with a request in flight.
     *
     * @param fingerprint the hash of the request
     * @return the number of crashes
     */
    public int crashes(String fingerprint) {
        Set<GroupId> groups = crashes.get(fingerprint);
        return groups == null ? 0 : groups.size();
    }

    /**
     * Returns the requests that are refused.
     *
     * @return the fingerprints with enough crashes, the oldest first
     */
    public List<String> quarantined() {
        return crashes.keySet().stream()
                .filter(f -> crashes(f) >= QUARANTINE_CRASHES)
                .toList();
    }

    Map<String, Set<GroupId>> all() {
        return crashes;
    }

    Verdict suspect(String fingerprint, GroupId group) {
        boolean added =
                crashes.computeIfAbsent(fingerprint, f -> new TreeSet<>()).add(group);
        if (crashes.size() > MAX_REMEMBERED) {
            crashes.remove(crashes.keySet().iterator().next());
        }
        return added ? Verdict.ACCEPTED : Verdict.refused("the crash is recorded already");
    }
}
