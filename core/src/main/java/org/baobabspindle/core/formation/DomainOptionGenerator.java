package org.baobabspindle.core.formation;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.EngineModel;

/** Generates the ways to divide the engines of one domain among the models. */
final class DomainOptionGenerator {
    /**
     * The time over which options are compared: about the lifetime of a group when engines are lost every few seconds.
     */
    private static final double HORIZON_MILLIS = 20_000;

    /** The assumed time until the head has left a group that is being dissolved. */
    private static final long DISSOLVING_MILLIS = 500;

    /** The assumed time that a serving group takes to finish its requests after it is closed. */
    private static final long CLOSING_MILLIS = 2_000;

    /**
     * The cost of a dissolved slot beside its value: requests have to finish first, and the change may have to be
     * undone.
     */
    private static final double DISSOLVED_SLOT_COST = 0.15;

    /** The factor on load times before the first request, when engines load ten times as fast. */
    private static final double FAST_LOAD_FACTOR = 0.1;

    /**
     * The cost of having several groups of one model in a domain; spreads the loss of one domain over all models. It
     * only decides between divisions that use the same engines, so it stays below the value of the engines in use.
     */
    private static final double CONCENTRATION_COST = 0.001;

    /** The same cost in a fleet with small groups only, in which engines beyond the demand may stay free as spares. */
    private static final double SMALL_GROUP_CONCENTRATION_COST = 0.01;

    /**
     * The value of an engine in a group. It exceeds the cost of concentration of the groups that a domain can hold, so
     * that engines beyond the demand do not stay idle; an idle engine is of no use after the next loss, as its group
     * would have to be formed first.
     */
    private static final double ENGINE_IN_USE_VALUE = 0.1;

    private final DomainState state;
    private final DomainOption.PlanningContext context;
    private final List<EngineModel> models;
    private final List<Integer> largestFirst = new ArrayList<>();
    private final List<Candidate> unassigned = new ArrayList<>();
    private final Map<DomainState.Group, List<Candidate>> candidatesByGroup = new HashMap<>();
    private final int[] currentCounts;
    private final int[] formingCounts;

    DomainOptionGenerator(DomainState state, DomainOption.PlanningContext context) {
        this.state = state;
        this.context = context;
        models = context.models();
        for (int m = 0; m < models.size(); m++) {
            largestFirst.add(m);
        }
        largestFirst.sort(Comparator.comparingInt(m -> -models.get(m).groupSize()));
        state.free().forEach(s -> unassigned.add(Candidate.of(s, 0, state, models)));
        state.dissolving().forEach(s -> unassigned.add(Candidate.of(s, DISSOLVING_MILLIS, state, models)));
        currentCounts = new int[models.size()];
        formingCounts = new int[models.size()];
        for (DomainState.Group g : state.groups()) {
            currentCounts[models.indexOf(g.model())]++;
            formingCounts[models.indexOf(g.model())] += g.serving() ? 0 : 1;
            candidatesByGroup.put(
                    g,
                    g.members().stream()
                            .map(s -> Candidate.of(s, CLOSING_MILLIS, state, models))
                            .toList());
        }
    }

    List<DomainOption> options() {
        List<int[]> counts = new ArrayList<>();
        counts.add(currentCounts);
        collectCounts(0, new int[currentCounts.length], state.engineCount(), counts);
        return counts.stream().map(this::option).toList();
    }

    /** Collects all counts of groups by model that leave too few engines for a further group. */
    private void collectCounts(int model, int[] counts, int engines, List<int[]> result) {
        if (model == models.size()) {
            if (models.stream().noneMatch(m -> m.groupSize() <= engines)) {
                result.add(counts.clone());
            }
            return;
        }
        int size = models.get(model).groupSize();
        for (int n = formingCounts[model]; n * size <= engines; n++) {
            counts[model] = n;
            collectCounts(model + 1, counts, engines - n * size, result);
        }
        counts[model] = 0;
    }

    private double engineInUseValue() {
        return LossRate.hasSmallGroupsOnly(models) ? 0 : ENGINE_IN_USE_VALUE;
    }

    private double concentrationCost() {
        return LossRate.hasSmallGroupsOnly(models) ? SMALL_GROUP_CONCENTRATION_COST : CONCENTRATION_COST;
    }

    private DomainOption option(int[] targetCounts) {
        double groupSlots = context.profile().slots();
        double[] slots = new double[models.size()];
        double cost = 0;
        List<DomainState.Group> donors = new ArrayList<>();
        for (int m = 0; m < slots.length; m++) {
            int kept = Math.min(currentCounts[m], targetCounts[m]);
            cost -= engineInUseValue() * kept * models.get(m).groupSize();
            slots[m] = kept * groupSlots;
            donors.addAll(donors(m, currentCounts[m] - kept, targetCounts));
            cost += concentrationCost() * groupSlots * targetCounts[m] * targetCounts[m];
        }
        cost += donors.size()
                * groupSlots
                * (DISSOLVED_SLOT_COST + CLOSING_MILLIS / HORIZON_MILLIS)
                * context.policy().downtimeWeight();
        List<Candidate> candidates = new ArrayList<>(unassigned);
        donors.forEach(g -> candidates.addAll(candidatesByGroup.get(g)));
        List<GroupPlanner.Plan> formed = new ArrayList<>();
        Set<DomainState.Group> countedDonors = new HashSet<>();
        for (int m : largestFirst) {
            int size = models.get(m).groupSize();
            if (targetCounts[m] > currentCounts[m]) {
                candidates.sort(bySoonestReady(m));
            }
            for (int n = currentCounts[m]; n < targetCounts[m] && candidates.size() >= size; n++) {
                List<Candidate> members = List.copyOf(candidates.subList(0, size));
                candidates.subList(0, size).clear();
                GroupPlanner.Plan plan = GroupPlanner.Plan.of(
                        models.get(m), members.stream().map(Candidate::server).toList());
                formed.add(plan);
                double servingShare = HORIZON_MILLIS / (HORIZON_MILLIS + readyMillis(plan, m, members));
                slots[m] += groupSlots * servingShare;
                cost -= engineInUseValue() * size * servingShare;
                if (plan.loadCount() > 0) {
                    // Donors keep serving while the weights are loaded onto their hosts.
                    for (DomainState.Group g : donors) {
                        if (!Collections.disjoint(candidatesByGroup.get(g), members) && countedDonors.add(g)) {
                            slots[models.indexOf(g.model())] += groupSlots * (1 - servingShare);
                        }
                    }
                }
            }
        }
        List<BackendServer> spares = candidates.stream().map(Candidate::server).toList();
        FleetPlan.DomainPlan plan = new FleetPlan.DomainPlan(
                state, donors.stream().map(DomainState.Group::key).toList(), formed, spares);
        return new DomainOption(slots, cost, plan);
    }

    /** Returns the groups of a model to dissolve: those whose engines can join the growing models soonest. */
    private List<DomainState.Group> donors(int model, int count, int[] targetCounts) {
        if (count == 0) {
            return List.of();
        }
        return state.groups().stream()
                .filter(g -> g.serving() && g.model().equals(models.get(model)))
                .sorted(Comparator.comparingLong((DomainState.Group g) -> readyMillisForGrowingModels(g, targetCounts))
                        .thenComparing(g -> g.key().epoch()))
                .limit(count)
                .toList();
    }

    private long readyMillisForGrowingModels(DomainState.Group group, int[] targetCounts) {
        long sum = 0;
        for (int m = 0; m < targetCounts.length; m++) {
            if (targetCounts[m] > currentCounts[m]) {
                for (Candidate c : candidatesByGroup.get(group)) {
                    sum += c.readyMillis(m);
                }
            }
        }
        return sum;
    }

    /**
     * Orders engines by the time until they are ready, and engines of the same time by how little other models gain by
     * them.
     */
    private static Comparator<Candidate> bySoonestReady(int model) {
        return Comparator.comparingLong((Candidate c) -> c.readyMillis(model))
                .thenComparingLong(c -> -c.minReadyMillisOfOtherModels(model));
    }

    private double readyMillis(GroupPlanner.Plan plan, int model, List<Candidate> members) {
        long ready = 0;
        for (Candidate c : members) {
            ready = Math.max(ready, c.readyMillis(model));
        }
        int loads = plan.loadCount();
        if (loads == 0) {
            return ready;
        }
        if (context.fastLoads()) {
            return ready * FAST_LOAD_FACTOR;
        }
        // The weight store is shared: one group is assumed to get half of the loads that it serves at full speed.
        double waves = Math.max(1, 2.0 * loads / context.profile().maxConcurrentLoads());
        return waves * ready + plan.model().warmJoinTime().toMillis();
    }
}
