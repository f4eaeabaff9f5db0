package org.baobabspindle.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** One version of the fleet configuration, indexed for routing and authenticating requests. */
public final class FleetConfiguration {
    private final long version;
    private final Map<String, List<Route>> routesByHost;
    private final Map<String, FleetService> services;
    private final Map<String, AccountPolicy> accountsByKey;
    private final boolean keysRequired;
    private final CallerLimits limits;

    /**
     * Creates a configuration.
     *
     * @param version the version; later versions are greater
     * @param routes the routes
     * @param services the services
     * @param accountsByKey the client accounts by API key
     * @param keysRequired whether requests to routes without public access need an API key
     * @param limits the limits on connections and requests of callers
     */
    public FleetConfiguration(
            long version,
            Collection<Route> routes,
            Collection<FleetService> services,
            Map<String, AccountPolicy> accountsByKey,
            boolean keysRequired,
            CallerLimits limits) {
        this.version = version;
        this.routesByHost = new HashMap<>();
        for (Route r : routes) {
            routesByHost.computeIfAbsent(r.host(), h -> new ArrayList<>()).add(r);
        }
        Comparator<Route> longestFirst =
                Comparator.comparingInt((Route r) -> r.pathPrefix().length()).reversed();
        routesByHost.values().forEach(l -> l.sort(longestFirst));
        this.services = new HashMap<>();
        services.forEach(s -> this.services.put(s.name(), s));
        this.accountsByKey = Map.copyOf(accountsByKey);
        this.keysRequired = keysRequired;
        this.limits = limits;
    }

    /**
     * Returns the version.
     *
     * @return the version; later versions are greater
     */
    public long version() {
        return version;
    }

    /**
     * Returns the route of a request: among the routes of the host, the one with the longest prefix of the path.
     *
     * @param host the host, without a port
     * @param path the path, without a query
     * @return the route, or empty if none matches
     */
    public Optional<Route> route(String host, String path) {
        for (Route r : routesByHost.getOrDefault(host, List.of())) {
            if (path.startsWith(r.pathPrefix())) {
                return Optional.of(r);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the service with the given name.
     *
     * @param name the name of the service
     * @return the service, or empty if it is not configured
     */
    public Optional<FleetService> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Returns all services.
     *
     * @return the configured services
     */
    public Collection<FleetService> services() {
        return services.values();
    }

    /**
     * Returns the client account of an API key.
     *
     * @param key the key
     * @return the account, or empty if the key is unknown
     */
    public Optional<AccountPolicy> account(String key) {
        return Optional.ofNullable(accountsByKey.get(key));
    }

    /**
     * Returns whether requests to routes without public access need an API key.
     *
     * @return whether an API key is required
     */
    public boolean keysRequired() {
        return keysRequired;
    }

    /**
     * Returns the limits on connections and requests of callers.
     *
     * @return the limits
     */
    public CallerLimits limits() {
        return limits;
    }
}
