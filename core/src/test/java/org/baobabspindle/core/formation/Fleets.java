package org.baobabspindle.core.formation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.EngineModel;
import org.baobabspindle.core.fleet.EngineProfile;
import org.baobabspindle.core.fleet.GroupKey;
import org.baobabspindle.core.fleet.PlanPolicy;
import org.baobabspindle.core.id.FabricDomain;

/** Creates domains and engines of fleets with two models, for tests of plans. */
final class Fleets {
    static final int SLOTS = 18;

    private final EngineModel large;
    private final EngineModel small;
    private final EngineProfile profile;
    private long epoch;

    Fleets(int largeSize, int smallSize) {
        large = new EngineModel("large", largeSize, 1.0, 0.5, Duration.ofSeconds(16), Duration.ofMillis(1_600));
        small = new EngineModel("small", smallSize, 0.6, 0.5, Duration.ofSeconds(12), Duration.ofMillis(1_100));
        profile = new EngineProfile(SLOTS, 6.45, 0.1, 56_100, 6, 5, 8, Duration.ofMillis(300), List.of(large, small));
    }

    EngineModel large() {
        return large;
    }

    EngineModel small() {
        return small;
    }

    DomainOption.PlanningContext context(double downtimeWeight) {
        return new DomainOption.PlanningContext(profile, new PlanPolicy(downtimeWeight), false);
    }

    DomainOption.PlanningContext contextBeforeRequests() {
        return new DomainOption.PlanningContext(profile, PlanPolicy.EVEN, true);
    }

    FleetPlan plan(List<DomainState> domains, double demandLarge, double demandSmall) {
        return plan(domains, context(1), demand(demandLarge, demandSmall));
    }

    static FleetPlan plan(List<DomainState> domains, DomainOption.PlanningContext context, ModelDemand demand) {
        return FleetPlanner.plan(domains, context, demand, new DomainOptionsCache());
    }

    static ModelDemand demand(double large, double small) {
        return ModelDemand.of(Map.of("large", large, "small", small));
    }

    /** Returns a domain with groups and free engines. */
    DomainState domain(String name, int largeGroups, int smallGroups, List<BackendServer> free) {
        return domain(name, largeGroups, smallGroups, free, List.of());
    }

    DomainState domain(
            String name, int largeGroups, int smallGroups, List<BackendServer> free, List<BackendServer> dissolving) {
        List<DomainState.Group> groups = new ArrayList<>();
        for (int i = 0; i < largeGroups + smallGroups; i++) {
            EngineModel model = i < largeGroups ? large : small;
            groups.add(new DomainState.Group(
                    new GroupKey("g" + ++epoch, epoch), model, engines(name, "m" + i, model, model.groupSize()), true));
        }
        return new DomainState(FabricDomain.of(name), groups, free, dissolving, Map.of());
    }

    /** Returns engines whose last group had a model and whose hosts have the other model staged. */
    List<BackendServer> engines(String domain, String prefix, EngineModel model, int count) {
        EngineModel other = model.equals(large) ? small : large;
        List<BackendServer> result = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            BackendServer s = Engines.free(domain + "-" + prefix + "-" + i, domain);
            result.add(Engines.withStaged(s.withModel(Optional.of(model.name())), other));
        }
        return result;
    }

    static List<BackendServer> enginesWithoutWeights(String domain, int count) {
        List<BackendServer> result = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            result.add(Engines.free(domain + "-e-" + i, domain));
        }
        return result;
    }

    /** Counts the groups of a model that a plan keeps or forms. */
    static int groups(FleetPlan plan, EngineModel model) {
        int result = 0;
        for (FleetPlan.DomainPlan d : plan.domains()) {
            result += groups(d, model);
        }
        return result;
    }

    static int groups(FleetPlan.DomainPlan d, EngineModel model) {
        long kept = d.state().groups().stream()
                .filter(g -> g.model().equals(model) && !d.donors().contains(g.key()))
                .count();
        long formed = d.groups().stream().filter(g -> g.model().equals(model)).count();
        return (int) (kept + formed);
    }
}
