package org.baobabspindle.core.formation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
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

    /** Returns the states, each in an order that does not depend on that of the list. */
    List<DomainState> all(Map<BackendServer.Lifetime, String> staging) {
        List<DomainState> result = new ArrayList<>();
        domains.forEach((d, p) -> {
            p.groups()
                    .sort(Comparator.comparing((DomainState.Group g) -> g.key().epoch())
                            .thenComparing(g -> g.key().name()));
            p.free().sort(Comparator.comparing(BackendServer::id));
            p.ending().sort(Comparator.comparing(BackendServer::id));
            result.add(new DomainState(d, p.groups(), p.free(), p.ending(), staged(p, staging)));
        });
        return result;
    }

    private static Map<BackendServer.Lifetime, String> staged(
            Parts parts, Map<BackendServer.Lifetime, String> staging) {
        Map<BackendServer.Lifetime, String> result = new HashMap<>();
        if (staging.isEmpty()) {
            return result;
        }
        List<BackendServer> all = new ArrayList<>(parts.free());
        all.addAll(parts.ending());
        parts.groups().forEach(g -> all.addAll(g.members()));
        for (BackendServer s : all) {
            String model = staging.get(s.lifetime());
            if (model != null) {
                result.put(s.lifetime(), model);
            }
        }
        return result;
    }
}
