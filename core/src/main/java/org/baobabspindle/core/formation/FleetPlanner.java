package org.baobabspindle.core.formation;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/**
 * Chooses for each fabric domain how it is divided among the models, so that the whole fleet serves as much of the
 * demand as possible. Planning the whole fleet at once matters after the loss of single members: if each group were
 * formed from the engines that are free at the moment, small groups would take the engines that a large group needs
 * shortly after.
 *
 * <p>The objective is {@link PlanObjective}, less the cost of the changes. A local search
 * improves it by changing one domain at a time, and two domains at a time once no single change helps. The search is
 * deterministic: all keepers that see the same fleet get the same plan.
 */
final class FleetPlanner {
    /** Smaller gains, in slots at full coverage, are attributed to rounding. */
    private static final double MIN_GAIN = 1e-6;

    /** The maximum number of passes over all domains; the value rises with each, and few passes suffice. */
    private static final int MAX_PASSES = 8;

    /**
     * The maximum number of domains for which pairs are tried; in larger fleets a single change is a small enough step.
     */
    private static final int MAX_DOMAINS_FOR_PAIRS = 12;

    private final List<List<DomainOption>> options = new ArrayList<>();
    private final PlanObjective objective;
    private final double[] totals;
    private final double[] largestElsewhere;
    private final int[] chosen;

    private FleetPlanner(
            List<DomainState> domains,
            DomainOption.PlanningContext context,
            ModelDemand modelDemand,
            DomainOptionsCache cache) {
        objective = new PlanObjective(context, modelDemand);
        totals = new double[objective.models()];
        largestElsewhere = new double[totals.length];
        chosen = new int[domains.size()];
        for (DomainState d : domains) {
            options.add(cache.options(d, context));
        }
    }

    /**
     * Plans a fleet.
     *
     * @param domains the current states of the domains
     * @param context the input that all domains share
     * @param modelDemand the demand for each model
     * @param cache the cached options of unchanged domains
     * @return the plan
     */
    static FleetPlan plan(
            List<DomainState> domains,
            DomainOption.PlanningContext context,
            ModelDemand modelDemand,
            DomainOptionsCache cache) {
        List<DomainState> sorted = new ArrayList<>(domains);
        sorted.sort(Comparator.comparing(DomainState::domain));
        if (context.models().isEmpty()) {
            return new FleetPlan(sorted.stream()
                    .map(d -> new FleetPlan.DomainPlan(d, List.of(), List.of(), d.free()))
                    .toList());
        }
        cache.retain(sorted);
        FleetPlanner planner = new FleetPlanner(sorted, context, modelDemand, cache);
        planner.hillClimb();
        return planner.result();
    }

    /** Returns the value of a plan: the utility of its slots less the cost of its changes. */
    static double value(List<DomainOption> choice, DomainOption.PlanningContext context, ModelDemand modelDemand) {
        return PlanObjective.of(choice, context, modelDemand);
    }

    private void hillClimb() {
        for (int d = 0; d < chosen.length; d++) {
            add(option(d), 1);
        }
        for (int pass = 0; pass < MAX_PASSES; pass++) {
            boolean better = false;
            for (int d = 0; d < chosen.length; d++) {
                better |= improve(d);
            }
            if (!better && !(chosen.length <= MAX_DOMAINS_FOR_PAIRS && improvePairs())) {
                return;
            }
        }
    }

    private boolean improve(int domain) {
        DomainOption before = option(domain);
        add(before, -1);
        findLargestElsewhere(domain, domain);
        int best = chosen[domain];
        double bestValue = valueWith(before) + MIN_GAIN;
        List<DomainOption> all = options.get(domain);
        for (int o = 0; o < all.size(); o++) {
            double value = valueWith(all.get(o));
            if (value > bestValue) {
                bestValue = value;
                best = o;
            }
        }
        boolean better = best != chosen[domain];
        chosen[domain] = best;
        add(option(domain), 1);
        return better;
    }

    private boolean improvePairs() {
        boolean better = false;
        for (int a = 0; a < chosen.length; a++) {
            for (int b = a + 1; b < chosen.length; b++) {
                better |= improvePair(a, b);
            }
        }
        return better;
    }

    private boolean improvePair(int a, int b) {
        DomainOption beforeA = option(a);
        DomainOption beforeB = option(b);
        add(beforeA, -1);
        add(beforeB, -1);
        findLargestElsewhere(a, b);
        double bestValue = valueWith(beforeA, beforeB) + MIN_GAIN;
        int bestA = chosen[a];
        int bestB = chosen[b];
        for (int i = 0; i < options.get(a).size(); i++) {
            DomainOption first = options.get(a).get(i);
            for (int j = 0; j < options.get(b).size(); j++) {
                double value = valueWith(first, options.get(b).get(j));
                if (value > bestValue) {
                    bestValue = value;
                    bestA = i;
                    bestB = j;
                }
            }
        }
        boolean better = bestA != chosen[a] || bestB != chosen[b];
        chosen[a] = bestA;
        chosen[b] = bestB;
        add(option(a), 1);
        add(option(b), 1);
        return better;
    }

    private DomainOption option(int domain) {
        return options.get(domain).get(chosen[domain]);
    }

    private void add(DomainOption option, int sign) {
        for (int m = 0; m < totals.length; m++) {
            totals[m] += sign * option.slots(m);
        }
    }

    /** Finds the most slots that a domain other than two has, for each model. */
    private void findLargestElsewhere(int a, int b) {
        Arrays.fill(largestElsewhere, 0);
        for (int d = 0; d < chosen.length; d++) {
            for (int m = 0; m < totals.length && d != a && d != b; m++) {
                largestElsewhere[m] = Math.max(largestElsewhere[m], option(d).slots(m));
            }
        }
    }

    private double valueWith(DomainOption option) {
        return objective.value(m -> totals[m] + option.slots(m), m -> Math.max(largestElsewhere[m], option.slots(m)))
                - option.cost();
    }

    private double valueWith(DomainOption a, DomainOption b) {
        return objective.value(
                        m -> totals[m] + a.slots(m) + b.slots(m),
                        m -> Math.max(largestElsewhere[m], Math.max(a.slots(m), b.slots(m))))
                - a.cost()
                - b.cost();
    }

    private FleetPlan result() {
        List<FleetPlan.DomainPlan> plans = new ArrayList<>();
        for (int d = 0; d < chosen.length; d++) {
            plans.add(option(d).plan());
        }
        return new FleetPlan(plans);
    }
}
