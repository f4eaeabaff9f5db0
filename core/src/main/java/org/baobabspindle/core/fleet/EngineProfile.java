package org.baobabspindle.core.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.baobabspindle.core.id.Checks;

/**
 * How the engines of a service batch, load and form groups. Times are those of a group of pace 1.
 *
 * @param slots the requests that a group runs at the same time
 * @param stepMillis a token step, in milliseconds
 * @param stepMillisPerSequence the addition to a step for each request that is writing, in milliseconds
 * @param prefillTokensPerSecond the prompt tokens read in a second
 * @param stepsPerPass the steps between two events of a stream
 * @param loadsPerSecond the loads that the weight store may begin in a second
 * @param maxConcurrentLoads the loads that the weight store serves at full speed
 * @param headOpenTime the time a head takes from the order to open until it serves
 * @param models the models, as configured
 */
public record EngineProfile(
        int slots,
        double stepMillis,
        double stepMillisPerSequence,
        double prefillTokensPerSecond,
        int stepsPerPass,
        double loadsPerSecond,
        int maxConcurrentLoads,
        Duration headOpenTime,
        List<EngineModel> models) {
    /** Checks the slots and copies the models. */
    public EngineProfile {
        Checks.require(slots >= 1, "slots must be positive but were " + slots);
        models = List.copyOf(models);
    }

    /**
     * Finds a model.
     *
     * @param name the name of the model
     * @return the model, if the service has it
     */
    public Optional<EngineModel> model(String name) {
        for (EngineModel m : models) {
            if (m.name().equals(name)) {
                return Optional.of(m);
            }
        }
        return Optional.empty();
    }
}
