package org.baobabspindle.core.formation;

import java.util.HashMap;
import java.util.Map;
import org.baobabspindle.core.fleet.EngineModel;
import org.baobabspindle.core.fleet.EngineProfile;

/** How much each model is wanted, in slots. */
public final class ModelDemand {
    /** The demand that a model without requests counts with, so that it keeps at least some groups. */
    private static final double FLOOR_SLOTS = 4;

    private final Map<String, Double> slots;

    private ModelDemand(Map<String, Double> slots) {
        this.slots = slots;
    }

    /**
     * Returns the demand that the configuration expects before any request was seen.
     *
     * @param profile the engines
     * @param engines the number of engines
     * @return the demand
     */
    public static ModelDemand expected(EngineProfile profile, int engines) {
        Map<String, Double> slots = new HashMap<>();
        double shares =
                profile.models().stream().mapToDouble(EngineModel::demandShare).sum();
        for (EngineModel m : profile.models()) {
            double groups = engines * (shares > 0 ? m.demandShare() / shares : 0) / m.groupSize();
            slots.put(m.name(), Math.max(FLOOR_SLOTS, groups * profile.slots()));
        }
        return new ModelDemand(slots);
    }

    /**
     * Returns the demand that entries have seen.
     *
     * @param slots the requests running and waiting, by model
     * @return the demand
     */
    public static ModelDemand of(Map<String, Double> slots) {
        return new ModelDemand(Map.copyOf(slots));
    }

    /**
     * Returns the slots wanted of a model.
     *
     * @param model the model
     * @return the slots, at least a few
     */
    public double slots(String model) {
        return Math.max(FLOOR_SLOTS, slots.getOrDefault(model, 0.0));
    }
}
