package org.baobabspindle.core.formation;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.EngineModel;
import org.baobabspindle.core.fleet.GroupKey;
import org.baobabspindle.core.id.FabricDomain;

/**
 * What a fabric domain consists of when the fleet is planned.
 *
 * @param domain the domain
 * @param groups the groups that serve or are being formed
 * @param free the sound engines in no group
 * @param ending the sound engines of groups that are coming to their end
 * @param staging the models that its hosts are staging
 */
record DomainState(
        FabricDomain domain,
        List<Group> groups,
        List<BackendServer> free,
        List<BackendServer> ending,
        Map<BackendServer.Lifetime, String> staging) {
    DomainState {
        groups = List.copyOf(groups);
        free = List.copyOf(free);
        ending = List.copyOf(ending);
        staging = Map.copyOf(staging);
    }

    /**
     * A group.
     *
     * @param key its key
     * @param model its model
     * @param members its members
     * @param serving whether it serves; only such a group may give its engines to another model
     */
    record Group(GroupKey key, EngineModel model, Collection<BackendServer> members, boolean serving) {
        Group {
            members = List.copyOf(members);
        }
    }

    /** Returns the engines that groups may consist of, with those of groups. */
    int engines() {
        int result = free.size() + ending.size();
        for (Group g : groups) {
            result += g.model().groupSize();
        }
        return result;
    }
}
