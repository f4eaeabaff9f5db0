package org.baobabspindle.core.formation;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.id.FabricDomain;

/** Collects the states of the domains; engines without a domain are left out, since no group can use them. */
final class DomainStates {
    private final Map<FabricDomain, Parts> domains = new TreeMap<>();

    private record Parts(List<DomainState.Group> groups, List<BackendServer> free, List<BackendServer> ending) {}

    void group(DomainState.Group group) {
        group.members().stream().findFirst().flatMap(this::parts).ifPresent(p -> p.groups()
                .add(group));
    }

    void free(BackendServer server) {
        parts(server).ifPresent(p -> p.free().add(server));
    }

    void ending(BackendServer server) {
        parts(server).ifPresent(p -> p.ending().add(server));
    }

    private Optional<Parts> parts(BackendServer server) {
        return server.domain()
                .map(d -> domains.computeIfAbsent(
                        d, x -> new Parts(new ArrayList<>(), new ArrayList<>(), new ArrayList<>())));
    }

    List<DomainState> all() {
        List<DomainState> result = new ArrayList<>();
        domains.forEach((d, p) -> result.add(new DomainState(d, p.groups(), p.free(), p.ending())));
        return result;
    }
}
