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

/** Builds the states of all domains. Engines without a domain are ignored, since no group can use them. */
final class DomainStatesBuilder {
    private final Map<FabricDomain, Parts> domains = new TreeMap<>();

    private record Parts(List<DomainState.Group> groups, List<BackendServer> free, List<BackendServer> dissolving) {}

    void addGroup(DomainState.Group group) {
        group.members().stream().findFirst().flatMap(this::parts).ifPresent(p -> p.groups()
                .add(group));
    }

    void addFree(BackendServer server) {
        parts(server).ifPresent(p -> p.free().add(server));
    }

    void addDissolving(BackendServer server) {
        parts(server).ifPresent(p -> p.dissolving().add(server));
    }

    private Optional<Parts> parts(BackendServer server) {
        return server.domain()
                .map(d -> domains.computeIfAbsent(
                        d, x -> new Parts(new ArrayList<>(), new ArrayList<>(), new ArrayList<>())));
    }

    /** Returns the states by domain; engines and groups are sorted, so that the order of the list has no influence. */
    List<DomainState> build(Map<BackendServer.Lifetime, String> staging) {
        List<DomainState> result = new ArrayList<>();
        domains.forEach((d, p) -> {
            p.groups()
                    .sort(Comparator.comparing((DomainState.Group g) -> g.key().epoch())
                            .thenComparing(g -> g.key().name()));
            p.free().sort(Comparator.comparing(BackendServer::id));
            p.dissolving().sort(Comparator.comparing(BackendServer::id));
            result.add(new DomainState(d, p.groups(), p.free(), p.dissolving(), stagingOf(p, staging)));
        });
        return result;
    }

    private static Map<BackendServer.Lifetime, String> stagingOf(
            Parts parts, Map<BackendServer.Lifetime, String> staging) {
        Map<BackendServer.Lifetime, String> result = new HashMap<>();
        if (staging.isEmpty()) {
            return result;
        }
        List<BackendServer> all = new ArrayList<>(parts.free());
        all.addAll(parts.dissolving());
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
