package org.baobabspindle.core.formation;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.EngineModel;
import org.baobabspindle.core.fleet.GroupKey;
import org.baobabspindle.core.id.FabricDomain;

/**
 * The groups and engines of a fabric domain, as input of a plan.
 *
 * @param domain the domain
 * @param groups the groups that serve or are being formed
 * @param free the healthy engines in no group
 * @param dissolving the healthy engines of groups that are being dissolved
 * @param staging the models that hosts of the domain are staging, by engine
 */
record DomainState(
        FabricDomain domain,
        List<Group> groups,
        List<BackendServer> free,
        List<BackendServer> dissolving,
        Map<BackendServer.Lifetime, String> staging) {
    DomainState {
        groups = List.copyOf(groups);
        free = List.copyOf(free);
        dissolving = List.copyOf(dissolving);
        staging = Map.copyOf(staging);
    }

    /**
     * A group that serves or is being formed.
     *
     * @param key its key
     * @param model its model
     * @param members its members
     * @param serving whether it serves; only a serving group may be dissolved for another model
     */
    record Group(GroupKey key, EngineModel model, Collection<BackendServer> members, boolean serving) {
        Group {
            members = List.copyOf(members);
        }
    }

    /** Returns the number of engines that groups can use, including those that are in groups. */
    int engineCount() {
        int result = free.size() + dissolving.size();
        for (Group g : groups) {
            result += g.model().groupSize();
        }
        return result;
    }
}
