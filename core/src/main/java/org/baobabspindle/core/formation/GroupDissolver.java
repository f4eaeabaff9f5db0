package org.baobabspindle.core.formation;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.EngineModel;
import org.baobabspindle.core.fleet.GroupKey;
import org.baobabspindle.core.fleet.MemberState;
import org.baobabspindle.core.time.Moment;

/**
 * Dissolves groups that have lost a member or have one that drains. A head that may still serve is ordered to close or
 * to leave the group before its members are assigned to other groups.
 */
final class GroupDissolver {
    /** How long a head may finish its requests when a member drains; engines wait as long before they stop. */
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(10);

    /**
     * How long a head may finish its requests when it or a member is no longer listed; a server that leaves without
     * notice serves as long, and most requests complete within this time.
     */
    private static final Duration UNLISTED_CLOSE_TIMEOUT = Duration.ofSeconds(3);

    private final SentOrders sentOrders;
    private final Map<GroupKey, Moment> closingSince = new HashMap<>();
    private final Map<GroupKey, Moment> unlistedSince = new HashMap<>();

    GroupDissolver(SentOrders sentOrders) {
        this.sentOrders = sentOrders;
    }

    /**
     * Orders the next step of dissolving a group; returns whether the head may still hold requests, so that members
     * stay.
     */
    boolean dissolve(GroupView g, Formation.View view, Moment now, List<FormationAction> actions) {
        if (g.head().isEmpty()) {
            return dissolveWithUnlistedHead(g, view, now, actions);
        }
        BackendServer head = g.head().get();
        MemberState state = head.group().orElseThrow().state();
        if (state == MemberState.BROKEN) {
            return false;
        }
        boolean memberLost =
                g.members().values().stream().anyMatch(s -> view.lost().contains(s.lifetime()));
        if (state.mayHoldRequests() && !memberLost) {
            boolean allListed = allMembersListed(g, view);
            Moment since = closingSince.computeIfAbsent(g.key(), k -> now);
            if (now.isBefore(since.plus(allListed ? CLOSE_TIMEOUT : UNLISTED_CLOSE_TIMEOUT))) {
                if (state == MemberState.OPEN) {
                    String reason = allListed
                            ? "a member is draining or the model has changed"
                            : "a member is no longer listed";
                    sentOrders.addIfDue(new FormationAction.Close(head, g.key(), reason), now, actions);
                }
                return true;
            }
        }
        sentOrders.addIfDue(new FormationAction.Leave(head, g.key(), "the group is incomplete"), now, actions);
        return true;
    }

    /**
     * Dissolves a group whose head the list no longer shows in it; returns whether the head may still serve. A head
     * that has restarted or joined another group does not serve. A head that is not listed at all may only have lost
     * its connection to the store and still serve, so it is ordered to close and then to leave.
     */
    private boolean dissolveWithUnlistedHead(
            GroupView g, Formation.View view, Moment now, List<FormationAction> actions) {
        BackendServer member = g.members().firstEntry().getValue();
        Optional<BackendServer> headByName = GroupName.head(g.key(), member);
        if (headByName.isEmpty()
                || view.engines().stream()
                        .anyMatch(s -> s.id().equals(headByName.get().id()))) {
            return false;
        }
        BackendServer head = headByName.get();
        Moment since = closingSince.computeIfAbsent(g.key(), k -> now);
        if (!view.lost().contains(head.lifetime()) && now.isBefore(since.plus(UNLISTED_CLOSE_TIMEOUT))) {
            sentOrders.addIfDue(new FormationAction.Close(head, g.key(), "the head is no longer listed"), now, actions);
            return true;
        }
        FormationAction leave = new FormationAction.Leave(head, g.key(), "the head is no longer listed");
        if (unlistedSince.putIfAbsent(g.key(), now) == null) {
            // An unlisted head that cannot be reached has terminated, so the answer frees the members now.
            sentOrders.remove(leave);
        }
        sentOrders.addIfDue(leave, now, actions);
        return true;
    }

    /** Returns whether no member is known to be missing. The configuration may no longer have the model, or its size. */
    private static boolean allMembersListed(GroupView g, Formation.View view) {
        int listed = g.members().size();
        int needed = g.model()
                .flatMap(view.profile()::model)
                .map(EngineModel::groupSize)
                .orElse(listed);
        return listed >= needed && g.isComplete(listed, s -> true);
    }

    /** Removes the groups that started to close, or lost their head from the list, before a time. */
    void expire(Moment old) {
        closingSince.values().removeIf(m -> m.isBefore(old));
        unlistedSince.values().removeIf(m -> m.isBefore(old));
    }
}
