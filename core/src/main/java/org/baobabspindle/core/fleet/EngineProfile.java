package org.baobabspindle.core.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.baobabspindle.core.id.Checks;

/**
 * The performance parameters of the engines of a service for batching, weight loading and group formation. Times apply
 * to a model with {@link EngineModel#pace()} 1.
 *
 * @param slots the maximum number of requests a group runs concurrently
 * @param stepMillis the duration of a decoding step, in milliseconds
 * @param stepMillisPerSequence the additional duration of a step per request that is generating tokens, in milliseconds
 * @param prefillTokensPerSecond the number of prompt tokens processed per second
 * @param stepsPerPass the number of decoding steps between two events of a stream
 * @param loadsPerSecond the maximum number of loads that the weight store may start per second
 * @param maxConcurrentLoads the number of concurrent loads that the weight store serves at full speed
 * @param headOpenTime the time from the order to open a head until it accepts requests
 * @param models the configured models
 * @param batch the further parameters of a batch; empty if the configuration does not state them
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
        List<EngineModel> models,
        Optional<BatchParameters> batch) {
    /** Validates the slots and copies the models. */
    public EngineProfile {
        Checks.require(slots >= 1, "slots must be positive but was " + slots);
        models = List.copyOf(models);
    }

    /**
     * Creates a profile without further parameters of a batch.
     *
     * @param slots the maximum number of requests a group runs concurrently
     * @param stepMillis the duration of a decoding step, in milliseconds
     * @param stepMillisPerSequence the additional duration of a step per generating request, in milliseconds
     * @param prefillTokensPerSecond the number of prompt tokens processed per second
     * @param stepsPerPass the number of decoding steps between two events of a stream
     * @param loadsPerSecond the maximum number of loads that the weight store may start per second
     * @param maxConcurrentLoads the number of concurrent loads that the weight store serves at full speed
     * @param headOpenTime the time from the order to open a head until it accepts requests
     * @param models the configured models
     */
    public EngineProfile(
            int slots,
            double stepMillis,
            double stepMillisPerSequence,
            double prefillTokensPerSecond,
            int stepsPerPass,
            double loadsPerSecond,
            int maxConcurrentLoads,
            Duration headOpenTime,
            List<EngineModel> models) {
        this(
                slots,
                stepMillis,
                stepMillisPerSequence,
                prefillTokensPerSecond,
                stepsPerPass,
                loadsPerSecond,
                maxConcurrentLoads,
                headOpenTime,
                models,
                Optional.empty());
    }

    /**
     * Returns the model with the given name.
     *
     * @param name the name of the model
     * @return the model, or empty if the service does not have it
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
