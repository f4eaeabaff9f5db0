package org.baobabspindle.core.fleet;

import java.time.Duration;
import org.baobabspindle.core.id.Checks;

/**
 * A model that groups of an engine service can hold.
 *
 * @param name the name of the model
 * @param groupSize the backend servers that hold one replica
 * @param pace the factor on all times of its groups
 * @param demandShare the expected share of the work at the start
 * @param loadTime the time to load its weights from the weight store
 * @param warmJoinTime the time to join a group when the weights are staged on the host
 */
public record EngineModel(
        String name, int groupSize, double pace, double demandShare, Duration loadTime, Duration warmJoinTime) {
    /** Checks the name and the size. */
    public EngineModel {
        Checks.identifier("model", name);
        Checks.require(groupSize >= 1, "size of " + name + " must be positive but was " + groupSize);
    }
}
