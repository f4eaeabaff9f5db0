package org.baobabspindle.core.formation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.baobabspindle.core.fleet.EngineModel;

/**
 * Chooses for each fabric domain how it is divided among the models, so that the whole fleet serves as much of the demand as
 * it can. Answers losses of single members: where each group were formed from the engines that are free now, small groups
 * would take the engines that a large one needs a moment later.
 *
 * <p>The sum over the models of a concave value, less the cost of the change, is raised one domain at a time, and where that
 * gains nothing by two domains at a time. All keepers that see the same fleet get the same plan.
 */
final class FleetPlanner {
    /** A gain below this, in slots at the demand, is rounding. */
    private static final double LEAST_GAIN = 1e-6;

    /** Passes over all domains; the value rises with each, and few are needed. */
    private static final int MOST_PASSES = 8;

    /** Domains up to which pairs are tried; beyond, single changes are fine enough against the whole. */
    private static final int MOST_PAIRED = 12;

    private final List<List<DomainOption>> options = new ArrayList<>();
    private final double[] demand;
    private final double[] totals;
    private final int[] chosen;

    private FleetPlanner(
            List<DomainState> domains, DomainOption.Situation situation, ModelDemand wanted, DomainOptionsCache cache) {
        demand = situation.models().stream()
                .mapToDouble(m -> wanted.slots(m.name()))
                .toArray();
        totals = new double[demand.length];
        chosen = new int[domains.size()];
        for (DomainState d : domains) {
            options.add(cache.options(d, situation));
        }
    }

    /**
     * Plans a fleet.
     *
     * @param domains the domains as they are
     * @param situation what they are planned with
     * @param wanted the demand for each model
     * @param cache remembers what was found for domains
     * @return the plan
     */
    static FleetPlan plan(
            List<DomainState> domains, DomainOption.Situation situation, ModelDemand wanted, DomainOptionsCache cache) {
        List<DomainState> sorted = new ArrayList<>(domains);
        sorted.sort(Comparator.comparing(DomainState::domain));
        if (situation.models().isEmpty()) {
            return new FleetPlan(sorted.stream()
                    .map(d -> new FleetPlan.DomainPlan(d, List.of(), List.of(), d.free()))
                    .toList());
        }
        cache.retain(sorted);
        FleetPlanner planner = new FleetPlanner(sorted, situation, wanted, cache);
        planner.climb();
        return planner.result();
    }

    /** Returns the value of a plan: of the slots it comes to, less the costs. */
    static double value(List<DomainOption> choice, List<EngineModel> models, ModelDemand wanted) {
        double value = 0;
        for (int m = 0; m < models.size(); m++) {
            double slots = 0;
            for (DomainOption o : choice) {
                slots += o.slots(m);
            }
            value += SlotValue.of(slots, wanted.slots(models.get(m).name()));
        }
        for (DomainOption o : choice) {
            value -= o.cost();
        }
        return value;
    }

    private void climb() {
        for (int d = 0; d < chosen.length; d++) {
            add(option(d), 1);
        }
        for (int pass = 0; pass < MOST_PASSES; pass++) {
            boolean better = false;
            for (int d = 0; d < chosen.length; d++) {
                better |= improve(d);
            }
            if (!better && !(chosen.length <= MOST_PAIRED && improvePairs())) {
                return;
            }
        }
    }

    private boolean improve(int domain) {
        DomainOption before = option(domain);
        add(before, -1);
        int best = chosen[domain];
        double most = valueWith(before) + LEAST_GAIN;
        List<DomainOption> all = options.get(domain);
        for (int o = 0; o < all.size(); o++) {
            double value = valueWith(all.get(o));
            if (value > most) {
                most = value;
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
        add(beforeB, 1);
        double most = valueWith(beforeA) - beforeB.cost() + LEAST_GAIN;
        add(beforeB, -1);
        int bestA = chosen[a];
        int bestB = chosen[b];
        for (int i = 0; i < options.get(a).size(); i++) {
            DomainOption first = options.get(a).get(i);
            add(first, 1);
            for (int j = 0; j < options.get(b).size(); j++) {
                double value = valueWith(options.get(b).get(j)) - first.cost();
                if (value > most) {
                    most = value;
                    bestA = i;
                    bestB = j;
                }
            }
            add(first, -1);
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

    private double valueWith(DomainOption option) {
        double value = -option.cost();
        for (int m = 0; m < totals.length; m++) {
            value += SlotValue.of(totals[m] + option.slots(m), demand[m]);
        }
        return value;
    }

    private FleetPlan result() {
        List<FleetPlan.DomainPlan> plans = new ArrayList<>();
        for (int d = 0; d < chosen.length; d++) {
            plans.add(option(d).plan());
        }
        return new FleetPlan(plans);
    }
}
