package org.baobabspindle.core.fleet;

import java.time.Duration;
import java.util.List;
import java.util.random.RandomGenerator;
import org.baobabspindle.core.id.Checks;

/**
 * A route that the operator has configured.
 *
 * @param name its name, for logs
 * @param host the host of its requests
 * @param pathPrefix the prefix of the paths, with a slash at both ends
 * @param kind what may be repeated
 * @param resumable whether a stream can go on at another backend server
 * @param publicAccess whether requests need no API key
 * @param timeout the longest time until the final answer
 * @param targetLatency the time within which an answer is worth most
 * @param targetGap the longest pause of a stream that is still on time; zero where the route states none
 * @param priority its rank, 0 is the highest
 * @param maxAttempts the most backend servers that one request may be sent to
 * @param services the services that take its requests
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
    /** Checks that the route can be used. */
    public Route {
        Checks.identifier("route", name);
        Checks.identifier("host", host);
        Checks.require(
                pathPrefix.startsWith("/") && pathPrefix.endsWith("/"),
                "path prefix " + pathPrefix + " must begin and end with a slash");
        Checks.require(maxAttempts >= 1, "max attempts of " + name + " must be positive but was " + maxAttempts);
        services = List.copyOf(services);
        Checks.require(!services.isEmpty(), "route " + name + " names no service");
    }

    /**
     * Tells whether a request may run again after it may have run.
     *
     * @return whether it may be repeated
     */
    public boolean repeatable() {
        return kind.repeatable(resumable);
    }

    /**
     * Picks a service by weight.
     *
     * @param random the source of the choice
     * @return the name of the service
     */
    public String pickService(RandomGenerator random) {
        double total = services.stream().mapToDouble(WeightedService::weight).sum();
        double left = random.nextDouble() * total;
        for (WeightedService s : services) {
            left -= s.weight();
            if (left < 0) {
                return s.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
