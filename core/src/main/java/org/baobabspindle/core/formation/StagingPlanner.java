package org.baobabspindle.core.formation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.EngineModel;

/**
 * Decides which weights the engines of one domain stage, from what the plan makes of them. Answers new engines without
 * weights, survivors that hold different models, and spares that must replace a lost member within seconds.
 */
final class StagingPlanner {
    private StagingPlanner() {}

    /**
     * What engines of a domain shall stage for one purpose.
     *
     * @param model the model
     * @param servers the engines
     * @param forGroup whether they are all that a group of the plan lacks
     */
    record Batch(EngineModel model, List<BackendServer> servers, boolean forGroup) {}

    /** Plans for the engines of a domain that are free or serve until they are needed; groups first, then the spares. */
    static List<Batch> plan(FleetPlan.DomainPlan plan) {
        List<Batch> result = new ArrayList<>();
        Set<BackendServer> able = new HashSet<>(plan.state().free());
        plan.state().groups().stream().filter(DomainState.Group::serving).forEach(g -> able.addAll(g.members()));
        for (GroupPlanner.Plan g : plan.groups()) {
            List<BackendServer> lacking =
                    g.lacking().stream().filter(able::contains).toList();
            if (!lacking.isEmpty()) {
                result.add(new Batch(g.model(), lacking, true));
            }
        }
        result.addAll(spares(plan, able));
        return result;
    }

    /**
     * Divides the spares among the models of the domain's groups, the largest first, so that each kind of group finds a
     * replacement. A spare that holds any of these models keeps it where the others are held as well.
     */
    private static List<Batch> spares(FleetPlan.DomainPlan plan, Set<BackendServer> able) {
        List<Batch> result = new ArrayList<>();
        List<EngineModel> models = models(plan);
        List<BackendServer> left = new ArrayList<>(plan.spares());
        left.sort(Comparator.comparing(BackendServer::id));
        for (int i = 0; i < plan.spares().size() && !models.isEmpty(); i++) {
            EngineModel model = models.get(i % models.size());
            BackendServer chosen = left.stream()
                    .filter(s -> holds(s, model))
                    .findFirst()
                    .orElseGet(() -> left.stream()
                            .max(Comparator.comparing(
                                    (BackendServer s) -> models.stream().noneMatch(m -> holds(s, m))))
                            .orElseThrow());
            left.remove(chosen);
            if (!holds(chosen, model) && able.contains(chosen)) {
                result.add(new Batch(model, List.of(chosen), false));
            }
        }
        return result;
    }

    /** Returns the models of the groups that the plan comes to, the largest first. */
    private static List<EngineModel> models(FleetPlan.DomainPlan plan) {
        Set<EngineModel> models = new HashSet<>();
        plan.state().groups().stream()
                .filter(g -> !plan.donors().contains(g.key()))
                .forEach(g -> models.add(g.model()));
        plan.groups().forEach(g -> models.add(g.model()));
        return models.stream()
                .sorted(Comparator.comparingInt(EngineModel::groupSize)
                        .reversed()
                        .thenComparing(EngineModel::name))
                .toList();
    }

    private static boolean holds(BackendServer s, EngineModel model) {
        return !GroupPlanner.joinTime(model, s).equals(model.loadTime());
    }
}
