package org.baobabspindle.core.log;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.baobabspindle.core.id.GroupId;

/** The groups that crashed with a request in flight, by the fingerprint of the request. */
public final class CrashHistory {
    /** The number of crashed groups from which on a request is quarantined. */
    public static final int QUARANTINE_THRESHOLD = 2;

    private static final int MAX_FINGERPRINTS = 10_000;

    private final Map<String, Set<GroupId>> groupsByFingerprint = new LinkedHashMap<>();

    CrashHistory() {}

    /**
     * Returns the number of groups that crashed with a request in flight.
     *
     * @param fingerprint the fingerprint of the request
     * @return the number of crashed groups
     */
    public int crashCount(String fingerprint) {
        Set<GroupId> groups = groupsByFingerprint.get(fingerprint);
        return groups == null ? 0 : groups.size();
    }

    /**
     * Returns the requests that are quarantined.
     *
     * @return the fingerprints of the requests, in the order of their first crash
     */
    public List<String> quarantined() {
        return groupsByFingerprint.keySet().stream()
                .filter(f -> crashCount(f) >= QUARANTINE_THRESHOLD)
                .toList();
    }

    Map<String, Set<GroupId>> all() {
        return groupsByFingerprint;
    }

    Verdict recordCrash(String fingerprint, GroupId group) {
        boolean added = groupsByFingerprint
                .computeIfAbsent(fingerprint, f -> new TreeSet<>())
                .add(group);
        if (groupsByFingerprint.size() > MAX_FINGERPRINTS) {
            groupsByFingerprint.remove(groupsByFingerprint.keySet().iterator().next());
        }
        return added ? Verdict.ACCEPTED : Verdict.refused("the crash is recorded already");
    }
}
