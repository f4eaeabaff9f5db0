package org.baobabspindle.core.freshness;

import org.baobabspindle.core.id.ConfigurationVersion;
import org.baobabspindle.core.id.Region;
import org.baobabspindle.core.log.ReplayedState;

/**
 * How far an entry has replayed what must not be missed.
 *
 * @param configuration the configuration version
 * @param membership the membership version of one region
 */
public record VersionVector(ConfigurationVersion configuration, long membership) {
    /**
     * Returns the vector of a state.
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
     * Tells whether this vector holds something that another lacks.
     *
     * @param other the other vector
     * @return whether either version is higher here
     */
    public boolean isAheadOf(VersionVector other) {
        return configuration.compareTo(other.configuration) > 0 || membership > other.membership;
    }
}
