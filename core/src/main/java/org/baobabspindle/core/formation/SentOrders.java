package org.baobabspindle.core.formation;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.GroupKey;
import org.baobabspindle.core.time.Moment;

/** The orders that were sent a short time ago, so that each is repeated only once its effect should be reported. */
final class SentOrders {
    /** How long an order is awaited before it is sent again; several times a calm answer with the report after it. */
    private static final Duration PATIENCE = Duration.ofMillis(600);

    /** The age of an engine's report; half more than the engines' documented figure. */
    private static final Duration REPORT_LAG = Duration.ofMillis(300);

    private final Map<Key, Moment> sent = new HashMap<>();

    private record Key(BackendServer.Lifetime server, GroupKey group, Class<?> kind) {
        static Key of(FormationAction action) {
            return new Key(action.server().lifetime(), action.key(), action.getClass());
        }
    }

    /** Adds an order to those to send now, unless its effect is still awaited. */
    void add(FormationAction action, Moment now, List<FormationAction> actions) {
        Moment before = sent.get(Key.of(action));
        if (before != null && now.isBefore(before.plus(PATIENCE))) {
            return;
        }
        sent.put(Key.of(action), now);
        actions.add(action);
    }

    /** Takes back that an order was sent. */
    void forget(FormationAction action) {
        sent.remove(Key.of(action));
    }

    /** Notes that an engine refused an order; returns when its report tells what it did instead. */
    Moment refused(FormationAction action, Moment now) {
        Moment again = now.plus(REPORT_LAG);
        sent.put(Key.of(action), again.minus(PATIENCE));
        return again;
    }

    /** Forgets what was sent before a time. */
    void expire(Moment old) {
        sent.values().removeIf(m -> m.isBefore(old));
    }
}
