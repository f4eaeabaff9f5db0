package org.baobabspindle.core.fleet;

import org.baobabspindle.core.id.Checks;

/**
 * A service that takes a share of the requests of a route.
 *
 * @param service the name of the service
 * @param weight its share, relative to the other services of the route
 */
public record WeightedService(String service, double weight) {
    /** Checks the name and the weight. */
    public WeightedService {
        Checks.identifier("service", service);
        Checks.require(weight >= 0, "weight of " + service + " must not be negative but was " + weight);
    }
}
