package org.baobabspindle.core.formation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.EngineModel;

/**
 * Decides which weights the free engines of one domain stage, from what the plan makes of them. Answers new engines without
 * weights, survivors that hold different models, and spares that must replace a lost member within seconds.
 */
final class StagingPlanner {
    private StagingPlanner() {}

    /**
     * What free engines of a domain shall stage for one purpose.
     *
     * @param model the model
     * @param servers the engines
     * @param forGroup whether they are all that a group of the plan lacks
     */
    record Batch(EngineModel model, List<BackendServer> servers, boolean forGroup) {}

    /** Plans for the engines of a domain that are free now; each group's members first, then the spares. */
    static List<Batch> plan(FleetPlan.DomainPlan plan) {
        List<Batch> result = new ArrayList<>();
        Set<BackendServer> free = new HashSet<>(plan.state().free());
        for (GroupPlanner.Plan g : plan.groups()) {
            List<BackendServer> lacking =
                    g.lacking().stream().filter(free::contains).toList();
            if (!lacking.isEmpty()) {
                result.add(new Batch(g.model(), lacking, true));
            }
        }
        Optional<EngineModel> wanted = forSpares(plan);
        if (wanted.isPresent()) {
            List<BackendServer> spares = plan.spares().stream()
                    .filter(s -> free.contains(s) && !holds(s, wanted.get()))
                    .toList();
            if (!spares.isEmpty()) {
                result.add(new Batch(wanted.get(), spares, false));
            }
        }
        return result;
    }

    /** Returns the model that spares hold: that of the domain's largest group, which loses a member most often. */
    private static Optional<EngineModel> forSpares(FleetPlan.DomainPlan plan) {
        List<EngineModel> models = new ArrayList<>();
        plan.state().groups().stream()
                .filter(g -> !plan.donors().contains(g.key()))
                .forEach(g -> models.add(g.model()));
        plan.groups().forEach(g -> models.add(g.model()));
        return models.stream().max(Comparator.comparingInt(EngineModel::groupSize));
    }

    private static boolean holds(BackendServer s, EngineModel model) {
        return !GroupPlanner.joinTime(model, s).equals(model.loadTime());
    }
}
