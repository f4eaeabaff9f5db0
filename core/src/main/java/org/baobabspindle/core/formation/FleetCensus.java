package org.baobabspindle.core.formation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.EngineProfile;
import org.baobabspindle.core.fleet.GroupMembership;
import org.baobabspindle.core.fleet.MemberState;
import org.baobabspindle.core.id.FabricDomain;

/**
 * Counts of the engines of a service by what they do, for logs and metrics.
 *
 * @param engines the number of listed engines
 * @param serving the number of serving groups, by model
 * @param joining the number of engines that are joining a group
 * @param stranded the number of engines that are neither in a serving group nor joining one
 * @param idle the number of stranded engines, by domain, state, last model and staged model
 */
public record FleetCensus(
        int engines, Map<String, Integer> serving, int joining, int stranded, Map<String, Integer> idle) {
    /**
     * Counts the engines of a service.
     *
     * @param profile the performance profile of the engines
     * @param listed the listed engines
     * @return the counts
     */
    public static FleetCensus of(EngineProfile profile, Collection<BackendServer> listed) {
        Map<String, Integer> serving = new TreeMap<>();
        Set<BackendServer> members = new HashSet<>();
        for (GroupView g : GroupView.all(listed)) {
            boolean complete = g.model()
                    .flatMap(profile::model)
                    .map(m -> g.isComplete(m.groupSize(), BackendServer::ready))
                    .orElse(false);
            Optional<MemberState> head = g.head().flatMap(BackendServer::group).map(GroupMembership::state);
            if (complete && head.equals(Optional.of(MemberState.OPEN))) {
                serving.merge(g.model().orElseThrow(), 1, Integer::sum);
                members.addAll(g.members().values());
            }
        }
        List<BackendServer> joining = new ArrayList<>(listed);
        joining.removeIf(s -> !s.group().map(GroupMembership::state).equals(Optional.of(MemberState.JOINING)));
        Map<String, Integer> idle = new TreeMap<>();
        int stranded = 0;
        for (BackendServer s : listed) {
            if (!members.contains(s) && !joining.contains(s)) {
                idle.merge(idleKey(s), 1, Integer::sum);
                stranded++;
            }
        }
        return new FleetCensus(listed.size(), serving, joining.size(), stranded, idle);
    }

    private static String idleKey(BackendServer s) {
        String state = s.ready()
                ? s.group().map(m -> m.state().name()).orElse("FREE")
                : s.state().name();
        return String.join(
                " ",
                s.domain().map(FabricDomain::value).orElse("-"),
                state,
                s.model().orElse("-"),
                s.staged().orElse("-"));
    }
}
