package org.baobabspindle.core.formation;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.GroupKey;
import org.baobabspindle.core.time.Moment;

/** Tracks recently sent orders, so that an order is repeated only after its effect should have been reported. */
final class SentOrders {
    /**
     * The time before an order is repeated: several times what an answer and the following report take without load.
     */
    private static final Duration RESEND_INTERVAL = Duration.ofMillis(600);

    /** The maximum age of an engine's report in the list: 1.5 times the figure that the engines document. */
    private static final Duration REPORT_LAG = Duration.ofMillis(300);

    private final Map<Key, Moment> sentAt = new HashMap<>();

    private record Key(BackendServer.Lifetime server, GroupKey group, Class<?> kind) {
        static Key of(FormationAction action) {
            return new Key(action.server().lifetime(), action.key(), action.getClass());
        }
    }

    /** Adds an order to the actions to send now, unless the same order was sent less than the resend interval ago. */
    void addIfDue(FormationAction action, Moment now, List<FormationAction> actions) {
        Moment previous = sentAt.get(Key.of(action));
        if (previous != null && now.isBefore(previous.plus(RESEND_INTERVAL))) {
            return;
        }
        sentAt.put(Key.of(action), now);
        actions.add(action);
    }

    /** Records that an order did not reach the engine; it is repeated only after a further interval. */
    void recordUnreachable(FormationAction action, Moment now) {
        sentAt.put(Key.of(action), now.plus(RESEND_INTERVAL));
    }

    /** Removes an order, so that it may be sent again at once. */
    void remove(FormationAction action) {
        sentAt.remove(Key.of(action));
    }

    /** Records that an engine refused an order; returns the time from which it may be sent again. */
    Moment recordRefusal(FormationAction action, Moment now) {
        Moment resendAt = now.plus(REPORT_LAG);
        sentAt.put(Key.of(action), resendAt.minus(RESEND_INTERVAL));
        return resendAt;
    }

    /** Removes the orders that were sent before a time. */
    void expire(Moment old) {
        sentAt.values().removeIf(m -> m.isBefore(old));
    }
}
