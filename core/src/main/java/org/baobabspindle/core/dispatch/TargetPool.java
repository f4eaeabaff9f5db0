package org.baobabspindle.core.dispatch;

import org.baobabspindle.core.id.Checks;

/**
 * Identifies a set of interchangeable targets, which can serve the same requests.
 *
 * @param service the service
 * @param model the model; empty for a plain service
 */
public record TargetPool(String service, String model) {
    /** Validates the name of the service. */
    public TargetPool {
        Checks.identifier("service", service);
    }
}
