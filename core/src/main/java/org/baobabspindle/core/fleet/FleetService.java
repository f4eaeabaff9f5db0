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
 * @param coldStart what its backend servers handle while they are cold
 */
public record FleetService(
        String name, int maxConnections, String healthPath, Optional<EngineProfile> engine, ColdStart coldStart) {
    /** Validates the name and the health path. */
    public FleetService {
        Checks.identifier("service", name);
        Checks.require(healthPath.startsWith("/"), "health path " + healthPath + " must start with a slash");
    }

    /**
     * Creates a service whose cold servers get requests like others.
     *
     * @param name the name of the service
     * @param maxConnections the maximum number of connections that each backend server accepts from all entries together
     * @param healthPath the path of the health check of its backend servers
     * @param engine the performance parameters of its engines; empty for a plain service
     */
    public FleetService(String name, int maxConnections, String healthPath, Optional<EngineProfile> engine) {
        this(name, maxConnections, healthPath, engine, ColdStart.UNLIMITED);
    }
}
