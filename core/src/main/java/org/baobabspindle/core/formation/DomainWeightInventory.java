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
 * Counts how many hosts of one domain hold the weights of each model. When all engines of a domain restart, only the
 * weights on their hosts remain; a group of a model can then be formed at once only if enough hosts for a group hold
 * that model.
 */
final class DomainWeightInventory {
    private final List<EngineModel> models;
    private final Function<BackendServer, Optional<String>> staging;
    private final Map<String, Integer> hostsByModel = new HashMap<>();

    DomainWeightInventory(EngineProfile profile, Function<BackendServer, Optional<String>> staging) {
        this.models = new ArrayList<>(profile.models());
        this.models.sort(Comparator.comparingInt(EngineModel::groupSize).reversed());
        this.staging = staging;
    }

    void count(BackendServer s) {
        heldModel(s).ifPresent(m -> hostsByModel.merge(m, 1, Integer::sum));
    }

    private Optional<String> heldModel(BackendServer s) {
        return staging.apply(s).or(s::staged);
    }

    /**
     * Returns the model that a host should stage in place of the one it holds, if any. A host keeps its model while no
     * more hosts hold it than a group needs. Otherwise it stages a model that too few hosts hold, or, if there is none,
     * a model other than that of its group (unless it already holds one), so that the group can be converted to that
     * model within seconds.
     */
    Optional<EngineModel> modelToStage(BackendServer s) {
        Optional<EngineModel> current = heldModel(s)
                .flatMap(name ->
                        models.stream().filter(m -> m.name().equals(name)).findFirst());
        if (current.isPresent() && count(current.get()) <= current.get().groupSize()) {
            return Optional.empty();
        }
        for (EngineModel m : models) {
            if (count(m) < m.groupSize() && !current.equals(Optional.of(m))) {
                return Optional.of(m);
            }
        }
        if (current.isPresent() && !s.model().equals(Optional.of(current.get().name()))) {
            return Optional.empty();
        }
        return models.stream()
                .filter(m -> !s.model().equals(Optional.of(m.name())))
                .min(Comparator.comparingDouble(m -> (double) count(m) / m.groupSize()));
    }

    private int count(EngineModel model) {
        return hostsByModel.getOrDefault(model.name(), 0);
    }

    /** Records that a host starts to stage a model in place of the one it holds. */
    void recordStaging(BackendServer s, EngineModel model) {
        heldModel(s).ifPresent(m -> hostsByModel.merge(m, -1, Integer::sum));
        hostsByModel.merge(model.name(), 1, Integer::sum);
    }
}
