package org.baobabspindle.core.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.EngineModel;
import org.baobabspindle.core.fleet.EngineProfile;
import org.baobabspindle.core.fleet.FleetConfiguration;
import org.baobabspindle.core.fleet.FleetService;
import org.baobabspindle.core.fleet.MemberState;
import org.baobabspindle.core.fleet.ServerState;
import org.baobabspindle.core.formation.GroupView;

/** The targets of all pools, derived from the configuration and the list of backend servers. */
public final class TargetCatalog {
    private final Map<TargetPool, List<Target>> pools;

    private TargetCatalog(Map<TargetPool, List<Target>> pools) {
        this.pools = pools;
    }

    /**
     * Returns a catalog without targets.
     *
     * @return the catalog
     */
    public static TargetCatalog empty() {
        return new TargetCatalog(Map.of());
    }

    /**
     * Derives the targets. A group is a target only while its head is open and every member reports the same group.
     *
     * @param configuration the configuration
     * @param servers the backend servers
     * @return the targets
     */
    public static TargetCatalog of(FleetConfiguration configuration, Collection<BackendServer> servers) {
        Map<TargetPool, List<Target>> pools = new HashMap<>();
        List<BackendServer> engines = new ArrayList<>();
        for (BackendServer s : servers) {
            Optional<FleetService> service = configuration.service(s.service());
            if (service.isEmpty()) {
                continue;
            }
            if (service.get().engine().isPresent()) {
                engines.add(s);
            } else if (s.state() == ServerState.READY) {
                pools.computeIfAbsent(new TargetPool(s.service(), ""), p -> new ArrayList<>())
                        .add(Target.of(s));
            }
        }
        for (GroupView g : GroupView.all(engines)) {
            EngineProfile profile = configuration
                    .service(g.service())
                    .flatMap(FleetService::engine)
                    .orElseThrow();
            groupTarget(g, profile).ifPresent(t -> pools.computeIfAbsent(
                            new TargetPool(g.service(), g.model().orElseThrow()), p -> new ArrayList<>())
                    .add(t));
        }
        return new TargetCatalog(pools);
    }

    private static Optional<Target> groupTarget(GroupView g, EngineProfile profile) {
        Optional<EngineModel> model = g.model().flatMap(profile::model);
        if (model.isEmpty() || !g.isComplete(model.get().groupSize(), BackendServer::ready)) {
            return Optional.empty();
        }
        BackendServer head = g.head().orElseThrow();
        if (head.group().orElseThrow().state() != MemberState.OPEN) {
            return Optional.empty();
        }
        return Optional.of(new Target(
                g.key().toString(),
                head,
                Optional.of(g.key()),
                profile.slots(),
                model.get().pace(),
                BatchModel.of(profile, model.get())));
    }

    /**
     * Returns the targets of a pool.
     *
     * @param pool the pool
     * @return the targets; empty for an unknown pool
     */
    public List<Target> targets(TargetPool pool) {
        return pools.getOrDefault(pool, List.of());
    }

    /**
     * Returns the mean number of prompt tokens of the first pool whose targets have a model of their batch.
     *
     * @return the number; 0 if there is no such pool
     */
    public int meanPromptTokens() {
        for (List<Target> targets : pools.values()) {
            if (targets.get(0).batch().isPresent()) {
                return targets.get(0).batch().get().batch().meanPromptTokens();
            }
        }
        return 0;
    }

    /**
     * Returns all targets.
     *
     * @return the targets by pool
     */
    public Map<TargetPool, List<Target>> all() {
        return pools;
    }
}
