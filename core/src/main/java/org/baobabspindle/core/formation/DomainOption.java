package org.baobabspindle.core.formation;

import java.util.List;
import org.baobabspindle.core.fleet.EngineModel;
import org.baobabspindle.core.fleet.EngineProfile;
import org.baobabspindle.core.fleet.PlanPolicy;

/** One way to divide the engines of a domain among the models. */
final class DomainOption {
    private final double[] slots;
    private final double cost;
    private final FleetPlan.DomainPlan plan;

    /**
     * Creates an option.
     *
     * @param slots the slots of each model, in the order of the profile; slots that become available later count less
     * @param cost the cost of the change, in slots valued at full coverage of the demand
     * @param plan the changes that lead to this division
     */
    DomainOption(double[] slots, double cost, FleetPlan.DomainPlan plan) {
        this.slots = slots.clone();
        this.cost = cost;
        this.plan = plan;
    }

    double slots(int model) {
        return slots[model];
    }

    double cost() {
        return cost;
    }

    FleetPlan.DomainPlan plan() {
        return plan;
    }

    /** Returns the useful ways to divide a domain; the first one keeps its groups as they are. */
    static List<DomainOption> all(DomainState state, PlanningContext context) {
        return new DomainOptionGenerator(state, context).options();
    }

    /**
     * The input that is the same for all domains of a plan.
     *
     * @param profile the performance profile of the engines
     * @param policy the weight of downtime against unused capacity
     * @param fastLoads whether loads are fast, as before the first request
     */
    record PlanningContext(EngineProfile profile, PlanPolicy policy, boolean fastLoads) {
        List<EngineModel> models() {
            return profile.models();
        }
    }
}
