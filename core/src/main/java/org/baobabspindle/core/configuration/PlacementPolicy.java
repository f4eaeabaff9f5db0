package org.baobabspindle.core.configuration;

import java.time.Duration;
import java.util.Comparator;
import java.util.Map;

/**
 * The objective of placement. In the experiments so far the same decisions were best for both policies, so both decide
 * alike; see docs/experiments/placement.md.
 */
public enum PlacementPolicy {
    /** Minimizes the time during which configured groups are down. */
    LEAST_DOWNTIME,
    /** Minimizes the accelerators that belong to no serving group. */
    LEAST_STRANDED;

    private static final Duration UNRESPONSIVE_TIMEOUT = Duration.ofSeconds(3);

    /**
     * Returns how long a member may be unresponsive before its group may be dissolved.
     *
     * @return the time without a report
     */
    public Duration unresponsiveTimeout() {
        return UNRESPONSIVE_TIMEOUT;
    }

    /**
     * Returns the order in which groups of the models are formed when instances are too few for all. Models with large
     * groups come first because small groups fit into the remaining instances.
     *
     * @return the order of the models, keyed by {@code model@version}
     */
    public Comparator<Map.Entry<String, ModelSetting>> modelOrder() {
        Comparator<Map.Entry<String, ModelSetting>> bySize =
                Comparator.comparing(e -> -e.getValue().instancesPerGroup());
        return bySize.thenComparing(Map.Entry::getKey);
    }
}
