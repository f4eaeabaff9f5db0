package org.baobabspindle.core.formation;

import java.util.List;
import org.baobabspindle.core.fleet.EngineModel;
import org.baobabspindle.core.fleet.EngineProfile;
import org.baobabspindle.core.fleet.PlanPolicy;

/** One way to divide a domain among the models. */
final class DomainOption {
    private final double[] slots;
    private final double cost;
    private final FleetPlan.DomainPlan plan;

    /**
     * Creates a way.
     *
     * @param slots the slots of each model, in the profile's order; those that come later count less
     * @param cost what the change costs, in slots at the demand
     * @param plan how to get there
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

    /** Returns the useful ways to divide a domain; the first one is to leave its groups as they are. */
    static List<DomainOption> all(DomainState state, Situation situation) {
        return new Division(state, situation).options();
    }

    /**
     * What all domains are planned with.
     *
     * @param profile the engines
     * @param policy what the users weigh against each other
     * @param loadsFast whether loads are fast, as before the first request
     */
    record Situation(EngineProfile profile, PlanPolicy policy, boolean loadsFast) {
        List<EngineModel> models() {
            return profile.models();
        }
    }
}
