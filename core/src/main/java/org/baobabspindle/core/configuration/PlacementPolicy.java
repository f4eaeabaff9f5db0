package org.baobabspindle.core.configuration;

import java.time.Duration;
import java.util.Comparator;
import java.util.Map;

/** The policy by which a keeper trades group downtime against stranded accelerators. */
public enum PlacementPolicy {
    /** Forms small groups first, so that as many groups as possible are up. */
    LEAST_DOWNTIME {
        @Override
        int compareSizes(int a, int b) {
            return Integer.compare(a, b);
        }
    },
    /** Forms large groups first, so that as few instances as possible are left over. */
    LEAST_STRANDED {
        @Override
        int compareSizes(int a, int b) {
            return Integer.compare(b, a);
        }
    };

    private static final Duration PATIENCE = Duration.ofSeconds(3);

    abstract int compareSizes(int a, int b);

    /**
     * Returns how long a silent member is waited for before its group is dissolved.
     *
     * @return the time without a report
     */
    public Duration patience() {
        return PATIENCE;
    }

    /**
     * Returns the order in which models get groups when not all can have theirs.
     *
     * @return the order of the models, by {@code model@version}
     */
    public Comparator<Map.Entry<String, ModelSetting>> order() {
        Comparator<Map.Entry<String, ModelSetting>> bySize = (a, b) ->
                compareSizes(a.getValue().instancesPerGroup(), b.getValue().instancesPerGroup());
        return bySize.thenComparing(Map.Entry::getKey);
    }
}
