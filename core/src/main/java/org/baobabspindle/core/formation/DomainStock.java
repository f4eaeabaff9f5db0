package org.baobabspindle.core.formation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.EngineModel;
import org.baobabspindle.core.fleet.EngineProfile;

/**
 * What the hosts of one domain hold together. Answers a domain that goes dark: engines that start anew know no model, and a
 * group of each can be formed at once only if as many hosts hold it as the group needs.
 */
final class DomainStock {
    private final List<EngineModel> models;
    private final Function<BackendServer, Optional<String>> staging;
    private final Map<String, Integer> held = new HashMap<>();

    DomainStock(EngineProfile profile, Function<BackendServer, Optional<String>> staging) {
        this.models = new ArrayList<>(profile.models());
        this.models.sort(Comparator.comparingInt(EngineModel::groupSize).reversed());
        this.staging = staging;
    }

    void count(BackendServer s) {
        holding(s).ifPresent(m -> held.merge(m, 1, Integer::sum));
    }

    private Optional<String> holding(BackendServer s) {
        return staging.apply(s).or(s::staged);
    }

    /**
     * Returns the model that a serving host should hold instead of what it holds. A host keeps a model that the domain needs
     * all of. One that could be spared takes the model that is short, and where none is, one that its group does not have, so
     * that the group can be given to that model within seconds.
     */
    Optional<EngineModel> wanted(BackendServer s) {
        Optional<EngineModel> kept = holding(s)
                .flatMap(name ->
                        models.stream().filter(m -> m.name().equals(name)).findFirst());
        if (kept.isPresent() && count(kept.get()) <= kept.get().groupSize()) {
            return Optional.empty();
        }
        for (EngineModel m : models) {
            if (count(m) < m.groupSize() && !kept.equals(Optional.of(m))) {
                return Optional.of(m);
            }
        }
        if (kept.isPresent() && !s.model().equals(Optional.of(kept.get().name()))) {
            return Optional.empty();
        }
        return models.stream()
                .filter(m -> !s.model().equals(Optional.of(m.name())))
                .min(Comparator.comparingDouble(m -> (double) count(m) / m.groupSize()));
    }

    private int count(EngineModel model) {
        return held.getOrDefault(model.name(), 0);
    }

    /** Notes that a host begins to stage a model. */
    void replace(BackendServer s, EngineModel model) {
        holding(s).ifPresent(m -> held.merge(m, -1, Integer::sum));
        held.merge(model.name(), 1, Integer::sum);
    }
}
