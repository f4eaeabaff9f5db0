package org.baobabspindle.core.formation;

import java.util.HashMap;
import java.util.Map;
import org.baobabspindle.core.fleet.EngineModel;
import org.baobabspindle.core.fleet.EngineProfile;

/** The demand for each model, in slots. */
public final class ModelDemand {
    /** The minimum demand of a model, so that a model without requests keeps some groups. */
    private static final double MIN_SLOTS = 4;

    private final Map<String, Double> slots;

    private ModelDemand(Map<String, Double> slots) {
        this.slots = slots;
    }

    /**
     * Returns the expected demand before any request has been seen, from the configured demand shares.
     *
     * @param profile the performance profile of the engines
     * @param engines the number of engines
     * @return the demand
     */
    public static ModelDemand expected(EngineProfile profile, int engines) {
        Map<String, Double> slots = new HashMap<>();
        double shares =
                profile.models().stream().mapToDouble(EngineModel::demandShare).sum();
        for (EngineModel m : profile.models()) {
            double groups = engines * (shares > 0 ? m.demandShare() / shares : 0) / m.groupSize();
            slots.put(m.name(), Math.max(MIN_SLOTS, groups * profile.slots()));
        }
        return new ModelDemand(slots);
    }

    /**
     * Returns the demand that entries have observed.
     *
     * @param slots the number of running and waiting requests, by model
     * @return the demand
     */
    public static ModelDemand of(Map<String, Double> slots) {
        return new ModelDemand(Map.copyOf(slots));
    }

    /**
     * Returns the demand for a model.
     *
     * @param model the model
     * @return the demand in slots, never below the minimum
     */
    public double slots(String model) {
        return Math.max(MIN_SLOTS, slots.getOrDefault(model, 0.0));
    }
}
