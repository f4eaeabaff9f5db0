package org.baobabspindle.core.fleet;

import java.time.Duration;
import java.util.List;
import java.util.random.RandomGenerator;
import org.baobabspindle.core.id.Checks;

/**
 * A configured route, which maps requests by host and path prefix to services.
 *
 * @param name the name of the route, for logs
 * @param host the host name of its requests
 * @param pathPrefix the path prefix of its requests; starts and ends with a slash
 * @param kind whether its requests may be repeated and whether its responses are streams
 * @param resumable whether a stream can be resumed at another backend server
 * @param publicAccess whether requests are accepted without an API key
 * @param timeout the maximum time until the response is complete
 * @param targetLatency the response time up to which a response has its full value
 * @param targetGap the maximum interval between events of a stream that is on time; zero if the route sets none
 * @param priority the priority of its requests; 0 is the highest
 * @param maxAttempts the maximum number of backend servers to which one request may be sent
 * @param services the services that receive its requests; not empty
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        boolean resumable,
        boolean publicAccess,
        Duration timeout,
        Duration targetLatency,
        Duration targetGap,
        int priority,
        int maxAttempts,
        List<WeightedService> services) {
    /** Validates the route. */
    public Route {
        Checks.identifier("route", name);
        Checks.identifier("host", host);
        Checks.require(
                pathPrefix.startsWith("/") && pathPrefix.endsWith("/"),
                "path prefix " + pathPrefix + " must start and end with a slash");
        Checks.require(maxAttempts >= 1, "max attempts of " + name + " must be positive but was " + maxAttempts);
        services = List.copyOf(services);
        Checks.require(!services.isEmpty(), "route " + name + " has no service");
    }

    /**
     * Returns whether a request may be sent again even if an earlier attempt may have run.
     *
     * @return whether requests may be repeated
     */
    public boolean repeatable() {
        return kind.repeatable(resumable);
    }

    /**
     * Selects a service at random, in proportion to the weights.
     *
     * @param random the random generator
     * @return the name of the service
     */
    public String pickService(RandomGenerator random) {
        double total = services.stream().mapToDouble(WeightedService::weight).sum();
        double remaining = random.nextDouble() * total;
        for (WeightedService s : services) {
            remaining -= s.weight();
            if (remaining < 0) {
                return s.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
