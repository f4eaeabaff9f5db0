package org.baobabspindle.core.formation;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.GroupKey;
import org.baobabspindle.core.fleet.MemberState;
import org.baobabspindle.core.time.Moment;

/**
 * Ends groups that are not whole. Answers losses and planned leaves: a head that may still serve is told to finish or to
 * leave before its members are used elsewhere.
 */
final class Dissolution {
    /** How long a draining member's head may finish what it has; engines wait that long for it. */
    private static final Duration CLOSE_PATIENCE = Duration.ofSeconds(10);

    /** How long a head that left the list without notice may finish what it has; most requests are over by then. */
    private static final Duration GONE_PATIENCE = Duration.ofSeconds(3);

    private final SentOrders orders;
    private final Map<GroupKey, Moment> closing = new HashMap<>();

    Dissolution(SentOrders orders) {
        this.orders = orders;
    }

    /** Returns whether the members stay bound because the head may still hold work. */
    boolean keepsMembers(GroupView g, Formation.View view, Moment now, List<FormationAction> actions) {
        if (g.head().isEmpty()) {
            return headMayServe(g, view, now, actions);
        }
        BackendServer head = g.head().get();
        MemberState state = head.group().orElseThrow().state();
        if (state == MemberState.BROKEN) {
            return false;
        }
        boolean memberLost =
                g.members().values().stream().anyMatch(s -> view.lost().contains(s.lifetime()));
        boolean memberLeaves = g.members().values().stream().anyMatch(s -> !s.ready());
        if (state.mayHoldRequests() && memberLeaves && !memberLost && wholeButLeaving(g, view)) {
            Moment since = closing.computeIfAbsent(g.key(), k -> now);
            if (now.isBefore(since.plus(CLOSE_PATIENCE))) {
                if (state == MemberState.OPEN) {
                    orders.add(new FormationAction.Close(head, g.key(), "a member leaves"), now, actions);
                }
                return true;
            }
        }
        orders.add(new FormationAction.Leave(head, g.key(), "the group is not whole"), now, actions);
        return true;
    }

    /**
     * Returns whether a head that the list no longer shows in its group may still serve. A head that started anew or joined
     * another group does not. One that is gone from the list may be cut off from the store alone, so it is told to leave.
     */
    private boolean headMayServe(GroupView g, Formation.View view, Moment now, List<FormationAction> actions) {
        BackendServer member = g.members().firstEntry().getValue();
        Optional<BackendServer> named = GroupName.head(g.key(), member);
        if (named.isEmpty()
                || view.engines().stream()
                        .anyMatch(s -> s.id().equals(named.get().id()))) {
            return false;
        }
        BackendServer head = named.get();
        Moment since = closing.computeIfAbsent(g.key(), k -> now);
        if (!view.lost().contains(head.lifetime()) && now.isBefore(since.plus(GONE_PATIENCE))) {
            orders.add(new FormationAction.Close(head, g.key(), "the head is gone from the list"), now, actions);
            return true;
        }
        orders.add(new FormationAction.Leave(head, g.key(), "the head is gone from the list"), now, actions);
        return true;
    }

    private static boolean wholeButLeaving(GroupView g, Formation.View view) {
        return g.model()
                .flatMap(view.profile()::model)
                .map(m -> g.isComplete(m.groupSize(), s -> true))
                .orElse(false);
    }

    /** Forgets groups that began to close before a time. */
    void expire(Moment old) {
        closing.values().removeIf(m -> m.isBefore(old));
    }
}
