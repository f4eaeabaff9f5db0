package org.baobabspindle.core.fleet;

import java.time.Duration;
import org.baobabspindle.core.id.Checks;

/**
 * A model that the groups of an engine service can serve.
 *
 * @param name the name of the model
 * @param groupSize the number of backend servers that together hold one replica
 * @param pace the factor that multiplies all times of its groups, relative to the {@link EngineProfile}
 * @param demandShare the expected share of the demand before any is measured
 * @param loadTime the time a member takes to join a group by loading the weights from the weight store
 * @param warmJoinTime the time a member takes to join a group when the weights are staged on its host
 */
public record EngineModel(
        String name, int groupSize, double pace, double demandShare, Duration loadTime, Duration warmJoinTime) {
    /** Validates the name and the group size. */
    public EngineModel {
        Checks.identifier("model", name);
        Checks.require(groupSize >= 1, "group size of " + name + " must be positive but was " + groupSize);
    }
}
