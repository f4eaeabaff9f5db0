package org.baobabspindle.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A whole version of the configuration, with the look-ups that requests need. */
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
     * @param version its version
     * @param routes its routes
     * @param services its services
     * @param accountsByKey the account of each API key
     * @param keysRequired whether requests on routes without public access need a key
     * @param limits bounds on what callers may send
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
     * Finds the route of a request: the longest prefix of the path among the routes of the host.
     *
     * @param host the host, without a port
     * @param path the path, without a query
     * @return the route, if there is one
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
     * Finds a service.
     *
     * @param name the name of the service
     * @return the service, if it is configured
     */
    public Optional<FleetService> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Returns the services.
     *
     * @return all configured services
     */
    public Collection<FleetService> services() {
        return services.values();
    }

    /**
     * Finds the account of an API key.
     *
     * @param key the key
     * @return the account, if the key is known
     */
    public Optional<AccountPolicy> account(String key) {
        return Optional.ofNullable(accountsByKey.get(key));
    }

    /**
     * Tells whether requests on routes without public access need an API key.
     *
     * @return whether they do
     */
    public boolean keysRequired() {
        return keysRequired;
    }

    /**
     * Returns the bounds on what callers may send.
     *
     * @return the bounds
     */
    public CallerLimits limits() {
        return limits;
    }
}
