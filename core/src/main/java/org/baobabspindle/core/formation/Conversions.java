package org.baobabspindle.core.formation;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.baobabspindle.core.fleet.EngineModel;
import org.baobabspindle.core.fleet.GroupKey;
import org.baobabspindle.core.id.FabricDomain;
import org.baobabspindle.core.time.Moment;

/** The groups that this keeper is dissolving because another model needs their engines. */
final class Conversions {
    /** How long a group may take to finish its requests; longer ones stay with their model. */
    private static final Duration PATIENCE = Duration.ofSeconds(6);

    private final Map<GroupKey, Moment> donors = new HashMap<>();
    private final Map<FabricDomain, Rebalancer.Conversion> awaited = new HashMap<>();

    void begin(Rebalancer.Conversion conversion, Moment now) {
        conversion.donors().forEach(d -> donors.put(d, now));
        awaited.put(conversion.domain(), conversion);
    }

    boolean underWay() {
        return !donors.isEmpty();
    }

    boolean isDonor(GroupKey group) {
        return donors.containsKey(group);
    }

    /** Returns the model that the next group of a domain was promised to. */
    Optional<EngineModel> promised(FabricDomain domain) {
        return Optional.ofNullable(awaited.get(domain)).map(Rebalancer.Conversion::model);
    }

    /** Returns whether the domain's engines wait for groups that are still being dissolved. */
    boolean awaitsDonors(FabricDomain domain, Predicate<GroupKey> stillThere, Moment now) {
        Rebalancer.Conversion c = awaited.get(domain);
        if (c == null) {
            return false;
        }
        expire(now);
        if (c.donors().stream().anyMatch(d -> isDonor(d) && stillThere.test(d))) {
            return true;
        }
        awaited.remove(domain);
        c.donors().forEach(donors::remove);
        return false;
    }

    void expire(Moment now) {
        Moment old = now.minus(PATIENCE);
        donors.values().removeIf(since -> since.isBefore(old));
    }
}
