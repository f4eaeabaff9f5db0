package org.baobabspindle.core.group;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.baobabspindle.core.id.InstanceId;

/** The latest report of each engine, ordered by when its probe was sent. Not thread-safe. */
public final class ReportTable {
    private final Map<InstanceId, MemberReport> latest = new HashMap<>();

    /** Creates an empty table. */
    public ReportTable() {}

    /**
     * Adds a report unless a later one is known.
     *
     * @param report the report
     */
    public void add(MemberReport report) {
        latest.merge(
                report.member().instance(), report, (a, b) -> b.probeSentAt().isBefore(a.probeSentAt()) ? a : b);
    }

    /**
     * Returns the latest report of an instance.
     *
     * @param instance the instance
     * @return the report, or empty if the instance has never reported
     */
    public Optional<MemberReport> of(InstanceId instance) {
        return Optional.ofNullable(latest.get(instance));
    }
}
