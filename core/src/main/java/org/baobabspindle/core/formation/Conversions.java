package org.baobabspindle.core.formation;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.baobabspindle.core.fleet.GroupKey;
import org.baobabspindle.core.time.Moment;

/** The groups that this keeper is dissolving because another model needs their engines. */
final class Conversions {
    /** How long a group may take to finish its requests; longer ones stay with their model. */
    private static final Duration PATIENCE = Duration.ofSeconds(6);

    private final Map<GroupKey, Moment> donors = new HashMap<>();

    void begin(List<GroupKey> groups, Moment now) {
        groups.forEach(g -> donors.put(g, now));
    }

    boolean underWay() {
        return !donors.isEmpty();
    }

    boolean isDonor(GroupKey group) {
        return donors.containsKey(group);
    }

    /** Forgets a group that has ended. */
    void ended(GroupKey group) {
        donors.remove(group);
    }

    void expire(Moment now) {
        Moment old = now.minus(PATIENCE);
        donors.values().removeIf(since -> since.isBefore(old));
    }
}
