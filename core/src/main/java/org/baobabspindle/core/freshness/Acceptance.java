package org.baobabspindle.core.freshness;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.baobabspindle.core.id.ConfigurationVersion;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.Region;
import org.baobabspindle.core.log.Membership;

/**
 * Tracks which entries have replayed a configuration version. The version is accepted once a majority of the entries of
 * each region has replayed it. From then on, no fresh entry can lack it for longer than the freshness bound.
 */
public final class Acceptance {
    private final ConfigurationVersion version;
    private final Set<Incarnation> having = new HashSet<>();

    /**
     * Creates a tracker without entries for a version.
     *
     * @param version the version
     */
    public Acceptance(ConfigurationVersion version) {
        this.version = version;
    }

    /**
     * Records the configuration version that an entry has replayed.
     *
     * @param entry the entry
     * @param replayed its configuration version
     */
    public void recordReplayed(Incarnation entry, ConfigurationVersion replayed) {
        if (replayed.compareTo(version) >= 0) {
            having.add(entry);
        }
    }

    /**
     * Returns the regions without a majority of entries that have replayed the version.
     *
     * @param membership the entries of each region
     * @return the regions; empty if the version is accepted
     */
    public List<Region> regionsWithoutMajority(Membership membership) {
        List<Region> missing = new ArrayList<>();
        for (Region r : membership.regions()) {
            if (!membership.of(r).isMajority(having)) {
                missing.add(r);
            }
        }
        return missing;
    }
}
