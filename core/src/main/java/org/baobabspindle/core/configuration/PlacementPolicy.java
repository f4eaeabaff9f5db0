package org.baobabspindle.core.configuration;

import java.time.Duration;
import java.util.Comparator;
import java.util.Map;

/**
 * What an operator weighs more. The decisions that were measured so far are best for both, so both decide alike; see
 * docs/experiments/placement.md.
 */
public enum PlacementPolicy {
    /** Weighs the time that wanted groups are down. */
    LEAST_DOWNTIME,
    /** Weighs accelerators that belong to no serving group. */
    LEAST_STRANDED;

    private static final Duration PATIENCE = Duration.ofSeconds(3);

    /**
     * Returns how long a silent member is waited for before its group is dissolved.
     *
     * @return the time without a report
     */
    public Duration unresponsiveTimeout() {
        return PATIENCE;
    }

    /**
     * Returns the order in which models get groups when not all can have theirs: large groups first, since small ones
     * fit into what is left.
     *
     * @return the order of the models, by {@code model@version}
     */
    public Comparator<Map.Entry<String, ModelSetting>> modelOrder() {
        Comparator<Map.Entry<String, ModelSetting>> bySize =
                Comparator.comparing(e -> -e.getValue().instancesPerGroup());
        return bySize.thenComparing(Map.Entry::getKey);
    }
}
