package org.baobabspindle.core.freshness;

import org.baobabspindle.core.id.ConfigurationVersion;
import org.baobabspindle.core.id.Region;
import org.baobabspindle.core.log.ReplayedState;

/**
 * The versions that an entry has replayed, of the configuration and of the membership of one region.
 *
 * @param configuration the configuration version
 * @param membership the membership version of one region
 */
public record VersionVector(ConfigurationVersion configuration, long membership) {
    /**
     * Returns the version vector of a replayed state.
     *
     * @param state the replayed state
     * @param region the region whose membership counts
     * @return the vector
     */
    public static VersionVector of(ReplayedState state, Region region) {
        return new VersionVector(
                state.configurationState().version(),
                state.membership().of(region).version());
    }

    /**
     * Returns whether this vector contains a newer version than another.
     *
     * @param other the other vector
     * @return true if either version is higher in this vector
     */
    public boolean isAheadOf(VersionVector other) {
        return configuration.compareTo(other.configuration) > 0 || membership > other.membership;
    }
}
