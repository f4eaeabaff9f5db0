package org.baobabspindle.core.formation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.GroupKey;
import org.baobabspindle.core.fleet.GroupMembership;
import org.baobabspindle.core.fleet.MemberState;

/**
 * A group as its members report it.
 *
 * @param key the group
 * @param service the service of its members
 * @param members those that report this group, by rank
 */
public record GroupView(GroupKey key, String service, TreeMap<Integer, BackendServer> members) {
    /**
     * Finds the groups that engines report.
     *
     * @param engines the engines
     * @return the groups, in no order
     */
    public static List<GroupView> all(Collection<BackendServer> engines) {
        Map<GroupKey, GroupView> groups = new HashMap<>();
        for (BackendServer s : engines) {
            if (s.group().isPresent()) {
                GroupMembership m = s.group().get();
                groups.computeIfAbsent(m.key(), k -> new GroupView(k, s.service(), new TreeMap<>()))
                        .members()
                        .put(m.rank(), s);
            }
        }
        return new ArrayList<>(groups.values());
    }

    /**
     * Returns the member of rank 0.
     *
     * @return the head, if it reports this group
     */
    public Optional<BackendServer> head() {
        return Optional.ofNullable(members.get(0));
    }

    /**
     * Returns the model of the group.
     *
     * @return the model as the name tells it, else as any member states it
     */
    public Optional<String> model() {
        return GroupName.model(key).or(() -> members.values().stream()
                .map(BackendServer::model)
                .flatMap(Optional::stream)
                .findFirst());
    }

    /**
     * Tells whether every member is there.
     *
     * @param size the members that the model needs
     * @param sound whether a member can be relied on
     * @return whether each rank is taken by a sound member
     */
    public boolean isComplete(int size, Predicate<BackendServer> sound) {
        return members.size() == size
                && members.lastKey() == size - 1
                && members.values().stream().allMatch(sound);
    }

    /**
     * Tells whether every member reports a state.
     *
     * @param state the state
     * @return whether all report it
     */
    public boolean all(MemberState state) {
        return members.values().stream().allMatch(s -> s.group().orElseThrow().state() == state);
    }
}
