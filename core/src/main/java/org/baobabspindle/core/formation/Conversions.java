package org.baobabspindle.core.formation;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.baobabspindle.core.fleet.GroupKey;
import org.baobabspindle.core.time.Moment;

/** Tracks the conversions of this keeper: the groups that it dissolves because another model needs their engines. */
final class Conversions {
    /** How long a group may take to finish its requests before its conversion is abandoned and it keeps its model. */
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(6);

    private final Map<GroupKey, Moment> donors = new HashMap<>();

    void start(List<GroupKey> groups, Moment now) {
        groups.forEach(g -> donors.put(g, now));
    }

    boolean inProgress() {
        return !donors.isEmpty();
    }

    boolean isDonor(GroupKey group) {
        return donors.containsKey(group);
    }

    /** Removes a group that has been dissolved. */
    void remove(GroupKey group) {
        donors.remove(group);
    }

    void expire(Moment now) {
        Moment old = now.minus(CLOSE_TIMEOUT);
        donors.values().removeIf(since -> since.isBefore(old));
    }
}
