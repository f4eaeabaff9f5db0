package org.baobabspindle.core.formation;

import java.util.List;
import java.util.function.IntToDoubleFunction;

/**
 * The utility of the slots that a plan gives to the models: the value of all slots for the demand, and the value of the
 * slots that remain for it when the domain with most of them fails or when one group is lost.
 */
final class PlanObjective {
    /**
     * The value of a slot that remains after the loss of a domain or of a group, up to the demand. The sum of both is
     * below the cost of dissolving a serving slot, so that spreading alone never dissolves a group. With 0.1, spreading
     * outweighed the demand in a fleet of two domains of 27 engines.
     */
    private static final double REMAINING_SLOT_VALUE = 0.05;

    private final double[] demand;
    private final double groupSlots;
    private final double remainingSlotValue;

    PlanObjective(DomainOption.PlanningContext context, ModelDemand modelDemand) {
        demand = context.models().stream()
                .mapToDouble(m -> modelDemand.slots(m.name()))
                .toArray();
        groupSlots = context.profile().slots();
        remainingSlotValue = LossRate.hasSmallGroupsOnly(context.models()) ? 0 : REMAINING_SLOT_VALUE;
    }

    int models() {
        return demand.length;
    }

    /**
     * Returns the value of the slots of all models.
     *
     * @param totals the slots of a model in all domains
     * @param largest the slots of a model in the domain that has most of them
     */
    double value(IntToDoubleFunction totals, IntToDoubleFunction largest) {
        double value = 0;
        double remaining = 0;
        for (int m = 0; m < demand.length; m++) {
            double total = totals.applyAsDouble(m);
            double afterDomain = total - largest.applyAsDouble(m);
            double afterGroup = Math.max(0, total - groupSlots);
            value += SlotValue.of(total, demand[m]);
            remaining += remainingSlotValue * (Math.min(demand[m], afterDomain) + Math.min(demand[m], afterGroup));
        }
        return value + remaining;
    }

    /** Returns the value of a choice of one option for each domain, less the cost of the changes. */
    static double of(List<DomainOption> choice, DomainOption.PlanningContext context, ModelDemand modelDemand) {
        PlanObjective objective = new PlanObjective(context, modelDemand);
        double value = objective.value(
                m -> choice.stream().mapToDouble(o -> o.slots(m)).sum(),
                m -> choice.stream().mapToDouble(o -> o.slots(m)).max().orElse(0));
        return value - choice.stream().mapToDouble(DomainOption::cost).sum();
    }
}
