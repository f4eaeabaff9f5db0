package org.baobabspindle.core.formation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.EngineProfile;
import org.baobabspindle.core.fleet.GroupMembership;
import org.baobabspindle.core.fleet.MemberState;

/**
 * Counts what the engines of a service do, for logs and metrics.
 *
 * @param engines the engines that are listed
 * @param serving the serving groups by model
 * @param joining the engines that join a group
 * @param stranded the engines in no serving group that join none
 */
public record FleetCensus(int engines, Map<String, Integer> serving, int joining, int stranded) {
    /**
     * Counts.
     *
     * @param profile how the engines work
     * @param listed the engines
     * @return the counts
     */
    public static FleetCensus of(EngineProfile profile, Collection<BackendServer> listed) {
        Map<String, Integer> serving = new TreeMap<>();
        int members = 0;
        for (GroupView g : GroupView.all(listed)) {
            boolean whole = g.model()
                    .flatMap(profile::model)
                    .map(m -> g.whole(m.groupSize(), BackendServer::ready))
                    .orElse(false);
            Optional<MemberState> head = g.head().flatMap(BackendServer::group).map(GroupMembership::state);
            if (whole && head.equals(Optional.of(MemberState.OPEN))) {
                serving.merge(g.model().orElseThrow(), 1, Integer::sum);
                members += g.members().size();
            }
        }
        List<BackendServer> joining = new ArrayList<>(listed);
        joining.removeIf(s -> !s.group().map(GroupMembership::state).equals(Optional.of(MemberState.JOINING)));
        return new FleetCensus(listed.size(), serving, joining.size(), listed.size() - members - joining.size());
    }
}
