package org.baobabspindle.core.fleet;

import org.baobabspindle.core.id.Checks;

/**
 * A service that receives a share of the requests of a route.
 *
 * @param service the name of the service
 * @param weight the weight of the service, relative to the other services of the route; not negative
 */
public record WeightedService(String service, double weight) {
    /** Validates the name and the weight. */
    public WeightedService {
        Checks.identifier("service", service);
        Checks.require(weight >= 0, "weight of " + service + " must not be negative but was " + weight);
    }
}
