package org.baobabspindle.core.dispatch;

import org.baobabspindle.core.id.Checks;

/**
 * Names the targets that can take each other's requests.
 *
 * @param service the service
 * @param model the model; empty for a plain service
 */
public record TargetPool(String service, String model) {
    /** Checks the service. */
    public TargetPool {
        Checks.identifier("service", service);
    }
}
