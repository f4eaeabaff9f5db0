package org.baobabspindle.core.fleet;

import java.util.Optional;
import org.baobabspindle.core.id.Checks;

/**
 * A configured service, which backend servers register for.
 *
 * @param name the name of the service
 * @param maxConnections the maximum number of connections that each backend server accepts from all entries together
 * @param healthPath the path of the health check of its backend servers
 * @param engine the performance parameters of its engines; empty for a plain service
 */
public record FleetService(String name, int maxConnections, String healthPath, Optional<EngineProfile> engine) {
    /** Validates the name and the health path. */
    public FleetService {
        Checks.identifier("service", name);
        Checks.require(healthPath.startsWith("/"), "health path " + healthPath + " must start with a slash");
    }
}
