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

/** Finds the ways to divide one domain among the models. */
final class Division {
    /** The time over which groups are compared; a group lives about so long where engines are lost every few seconds. */
    private static final double HORIZON_MILLIS = 20_000;

    /** The time until a group that is not whole has been left by its head. */
    private static final long ENDING_MILLIS = 500;

    /** The time until a serving group has finished its requests. */
    private static final long CLOSING_MILLIS = 2_000;

    /** What a dissolved slot costs beside its own value: requests that must end, and a change that may be undone. */
    private static final double DISSOLVED_SLOT = 0.15;

    /** Engines load ten times as fast before the first request. */
    private static final double EARLY_LOAD_FACTOR = 0.1;

    /** Prefers domains with groups of several models, so that the loss of one domain hits all models alike. */
    private static final double CONCENTRATION = 0.01;

    private final DomainState state;
    private final DomainOption.Situation situation;
    private final List<EngineModel> models;
    private final List<Integer> largestFirst = new ArrayList<>();
    private final List<Candidate> loose = new ArrayList<>();
    private final Map<DomainState.Group, List<Candidate>> grouped = new HashMap<>();
    private final int[] present;
    private final int[] forming;

    Division(DomainState state, DomainOption.Situation situation) {
        this.state = state;
        this.situation = situation;
        models = situation.models();
        for (int m = 0; m < models.size(); m++) {
            largestFirst.add(m);
        }
        largestFirst.sort(Comparator.comparingInt(m -> -models.get(m).groupSize()));
        state.free().forEach(s -> loose.add(Candidate.of(s, 0, state, models)));
        state.ending().forEach(s -> loose.add(Candidate.of(s, ENDING_MILLIS, state, models)));
        present = new int[models.size()];
        forming = new int[models.size()];
        for (DomainState.Group g : state.groups()) {
            present[models.indexOf(g.model())]++;
            forming[models.indexOf(g.model())] += g.serving() ? 0 : 1;
            grouped.put(
                    g,
                    g.members().stream()
                            .map(s -> Candidate.of(s, CLOSING_MILLIS, state, models))
                            .toList());
        }
    }

    List<DomainOption> options() {
        List<int[]> counts = new ArrayList<>();
        counts.add(present);
        collect(0, new int[present.length], state.engines(), counts);
        return counts.stream().map(this::option).toList();
    }

    /** Collects the counts of groups beside which no further group fits. */
    private void collect(int model, int[] counts, int engines, List<int[]> result) {
        if (model == models.size()) {
            if (models.stream().noneMatch(m -> m.groupSize() <= engines)) {
                result.add(counts.clone());
            }
            return;
        }
        int size = models.get(model).groupSize();
        for (int n = forming[model]; n * size <= engines; n++) {
            counts[model] = n;
            collect(model + 1, counts, engines - n * size, result);
        }
        counts[model] = 0;
    }

    private DomainOption option(int[] wanted) {
        double groupSlots = situation.profile().slots();
        double[] slots = new double[models.size()];
        double cost = 0;
        List<DomainState.Group> donors = new ArrayList<>();
        for (int m = 0; m < slots.length; m++) {
            int kept = Math.min(present[m], wanted[m]);
            slots[m] = kept * groupSlots;
            donors.addAll(donors(m, present[m] - kept, wanted));
            cost += CONCENTRATION * groupSlots * wanted[m] * wanted[m];
        }
        cost += donors.size()
                * groupSlots
                * (DISSOLVED_SLOT + CLOSING_MILLIS / HORIZON_MILLIS)
                * situation.policy().downtimeWeight();
        List<Candidate> available = new ArrayList<>(loose);
        donors.forEach(g -> available.addAll(grouped.get(g)));
        List<GroupPlanner.Plan> formed = new ArrayList<>();
        Set<DomainState.Group> counted = new HashSet<>();
        for (int m : largestFirst) {
            int size = models.get(m).groupSize();
            if (wanted[m] > present[m]) {
                available.sort(soonest(m));
            }
            for (int n = present[m]; n < wanted[m] && available.size() >= size; n++) {
                List<Candidate> members = List.copyOf(available.subList(0, size));
                available.subList(0, size).clear();
                GroupPlanner.Plan plan = GroupPlanner.Plan.of(
                        models.get(m), members.stream().map(Candidate::server).toList());
                formed.add(plan);
                double share = HORIZON_MILLIS / (HORIZON_MILLIS + readyMillis(plan, m, members));
                slots[m] += groupSlots * share;
                if (plan.loadCount() > 0) {
                    // Donors serve on while their hosts load.
                    for (DomainState.Group g : donors) {
                        if (!Collections.disjoint(grouped.get(g), members) && counted.add(g)) {
                            slots[models.indexOf(g.model())] += groupSlots * (1 - share);
                        }
                    }
                }
            }
        }
        List<BackendServer> spares = available.stream().map(Candidate::server).toList();
        FleetPlan.DomainPlan plan = new FleetPlan.DomainPlan(
                state, donors.stream().map(DomainState.Group::key).toList(), formed, spares);
        return new DomainOption(slots, cost, plan);
    }

    /** Returns the groups of a model to dissolve; those first whose engines serve the models that gain soonest. */
    private List<DomainState.Group> donors(int model, int count, int[] wanted) {
        if (count == 0) {
            return List.of();
        }
        return state.groups().stream()
                .filter(g -> g.serving() && g.model().equals(models.get(model)))
                .sorted(Comparator.comparingLong((DomainState.Group g) -> gainersReadyMillis(g, wanted))
                        .thenComparing(g -> g.key().epoch()))
                .limit(count)
                .toList();
    }

    private long gainersReadyMillis(DomainState.Group group, int[] wanted) {
        long sum = 0;
        for (int m = 0; m < wanted.length; m++) {
            if (wanted[m] > present[m]) {
                for (Candidate c : grouped.get(group)) {
                    sum += c.readyMillis(m);
                }
            }
        }
        return sum;
    }

    /** Puts the engines first that join soonest, and of these the ones that other models gain least from. */
    private static Comparator<Candidate> soonest(int model) {
        return Comparator.comparingLong((Candidate c) -> c.readyMillis(model))
                .thenComparingLong(c -> -c.readyMillisElsewhere(model));
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
        if (situation.loadsFast()) {
            return ready * EARLY_LOAD_FACTOR;
        }
        // The weight store is shared; half of what it serves at full speed is taken to be free for one group.
        double waves = Math.max(1, 2.0 * loads / situation.profile().maxConcurrentLoads());
        return waves * ready + plan.model().warmJoinTime().toMillis();
    }
}
