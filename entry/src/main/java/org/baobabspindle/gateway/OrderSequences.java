package org.baobabspindle.gateway;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.port.OrderAnswer;

/**
 * How many orders each engine has begun, as this keeper knows. An order states the number it expects, so that of two orders
 * sent in the same state only one begins, however late the other one is carried out.
 */
final class OrderSequences {
    private final Map<BackendServer.Lifetime, Long> startedOrders = new HashMap<>();
    private final Set<BackendServer.Lifetime> outOfSync = new HashSet<>();

    /** Forgets engines that are not listed any more; one that comes back is asked or starts anew. */
    synchronized void retain(Set<BackendServer.Lifetime> listed) {
        startedOrders.keySet().retainAll(listed);
        outOfSync.retainAll(listed);
    }

    /** Returns the number to expect; empty if the engine must be asked. */
    synchronized OptionalLong expected(BackendServer server) {
        Long known = startedOrders.get(server.lifetime());
        if (known != null) {
            return OptionalLong.of(known);
        }
        boolean untouched = server.group().isEmpty()
                && server.model().isEmpty()
                && server.staged().isEmpty();
        if (!untouched || outOfSync.contains(server.lifetime())) {
            return OptionalLong.empty();
        }
        startedOrders.put(server.lifetime(), 0L);
        return OptionalLong.of(0);
    }

    /**
     * Takes over the answer to an order. One that is done at once, such as to leave a group, is answered as one whose effect
     * holds, and counts all the same.
     */
    synchronized void orderAnswered(BackendServer.Lifetime server, OrderAnswer answer, boolean doneAtOnce) {
        if (answer == OrderAnswer.STARTED || (answer == OrderAnswer.HOLDS && doneAtOnce)) {
            startedOrders.computeIfPresent(server, (s, n) -> n + 1);
        } else if (answer == OrderAnswer.CONFLICT) {
            startedOrders.remove(server);
            outOfSync.add(server);
        }
    }

    /** Takes over the engine's own report. */
    synchronized void sequenceReported(BackendServer.Lifetime server, long sequence) {
        startedOrders.put(server, sequence);
        outOfSync.remove(server);
    }
}
