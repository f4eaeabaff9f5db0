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
 * A group as reported by its members.
 *
 * @param key the group
 * @param service the service of its members
 * @param members the engines that report this group, by rank
 */
public record GroupView(GroupKey key, String service, TreeMap<Integer, BackendServer> members) {
    /**
     * Returns the groups that engines report.
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
                        .merge(m.rank(), s, (known, other) -> isNamedHead(m, known) ? known : other);
            }
        }
        return new ArrayList<>(groups.values());
    }

    /**
     * Returns whether a group bears the name of a server. Of two records of one rank, this one is not the copy that another
     * writer made of it under another name.
     */
    private static boolean isNamedHead(GroupMembership m, BackendServer s) {
        return GroupName.head(m.key(), s).filter(h -> h.id().equals(s.id())).isPresent();
    }

    /**
     * Returns the head, which is the member of rank 0.
     *
     * @return the head, if it reports this group
     */
    public Optional<BackendServer> head() {
        return Optional.ofNullable(members.get(0));
    }

    /**
     * Returns the model of the group.
     *
     * @return the model in the group's name, otherwise the one that any member reports
     */
    public Optional<String> model() {
        return GroupName.model(key).or(() -> members.values().stream()
                .map(BackendServer::model)
                .flatMap(Optional::stream)
                .findFirst());
    }

    /**
     * Returns whether each rank is taken by a usable member.
     *
     * @param size the number of members that a group of the model has
     * @param usable whether a member is usable
     * @return whether the group is complete
     */
    public boolean isComplete(int size, Predicate<BackendServer> usable) {
        return members.size() == size
                && members.lastKey() == size - 1
                && members.values().stream().allMatch(usable);
    }

    /**
     * Returns whether all members report a state.
     *
     * @param state the state
     * @return whether all report it
     */
    public boolean all(MemberState state) {
        return members.values().stream().allMatch(s -> s.group().orElseThrow().state() == state);
    }
}
