package org.baobabspindle.core.formation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.EngineModel;

/**
 * Decides which weights the engines of one domain stage to prepare the planned groups. Covers new engines without
 * weights, survivors that hold different models, and spares that have to replace a lost member within seconds.
 */
final class StagingPlanner {
    private StagingPlanner() {}

    /**
     * Engines that stage the same model for the same purpose.
     *
     * @param model the model
     * @param servers the engines
     * @param forGroup whether they are the members of a planned group that lack the weights; otherwise they are spares
     */
    record Batch(EngineModel model, List<BackendServer> servers, boolean forGroup) {}

    /** Plans staging for the free and serving engines of a domain: first for planned groups, then for spares. */
    static List<Batch> plan(FleetPlan.DomainPlan plan) {
        List<Batch> result = new ArrayList<>();
        Set<BackendServer> eligible = new HashSet<>(plan.state().free());
        plan.state().groups().stream().filter(DomainState.Group::serving).forEach(g -> eligible.addAll(g.members()));
        for (GroupPlanner.Plan g : plan.groups()) {
            List<BackendServer> toLoad =
                    g.membersToLoad().stream().filter(eligible::contains).toList();
            if (!toLoad.isEmpty()) {
                result.add(new Batch(g.model(), toLoad, true));
            }
        }
        result.addAll(spareBatches(plan, eligible));
        return result;
    }

    /**
     * Divides the spares among the models of the domain's groups, largest first, so that a member of any group can be
     * replaced. Each share prefers a spare that already holds its model, and next one that holds none of the models, so
     * that spares keep the weights that they hold where possible.
     */
    private static List<Batch> spareBatches(FleetPlan.DomainPlan plan, Set<BackendServer> eligible) {
        List<Batch> result = new ArrayList<>();
        List<EngineModel> models = models(plan);
        List<BackendServer> remaining = new ArrayList<>(plan.spares());
        remaining.sort(Comparator.comparing(BackendServer::id));
        for (int i = 0; i < plan.spares().size() && !models.isEmpty(); i++) {
            EngineModel model = models.get(i % models.size());
            BackendServer chosen = remaining.stream()
                    .filter(s -> holds(s, model))
                    .findFirst()
                    .orElseGet(() -> remaining.stream()
                            .max(Comparator.comparing(
                                    (BackendServer s) -> models.stream().noneMatch(m -> holds(s, m))))
                            .orElseThrow());
            remaining.remove(chosen);
            if (!holds(chosen, model) && eligible.contains(chosen)) {
                result.add(new Batch(model, List.of(chosen), false));
            }
        }
        return result;
    }

    /** Returns the models of the groups that the plan keeps or forms, largest first. */
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
