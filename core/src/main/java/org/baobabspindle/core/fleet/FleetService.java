package org.baobabspindle.core.fleet;

import java.util.Optional;
import org.baobabspindle.core.id.Checks;

/**
 * A service that backend servers register for.
 *
 * @param name its name
 * @param maxConnections the connections that one of its backend servers accepts from all entries together
 * @param healthPath the path at which its backend servers answer health checks
 * @param engine how its engines work; empty for a plain service
 */
public record FleetService(String name, int maxConnections, String healthPath, Optional<EngineProfile> engine) {
    /** Checks the name. */
    public FleetService {
        Checks.identifier("service", name);
        Checks.require(healthPath.startsWith("/"), "health path " + healthPath + " must begin with a slash");
    }
}
