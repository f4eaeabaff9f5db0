package org.baobabspindle.gateway;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.port.OrderAnswer;

/**
 * Tracks the order sequence number of each engine: how many orders it has started, as far as this keeper knows. An
 * order states the number it expects, so of two orders sent in the same state only one takes effect, however late the
 * other one arrives.
 */
final class OrderSequences {
    private final Map<BackendServer.Lifetime, Long> startedOrders = new HashMap<>();
    private final Set<BackendServer.Lifetime> outOfSync = new HashSet<>();

    /** Forgets the engines that are no longer listed; one that is listed again is queried or starts from 0. */
    synchronized void retain(Set<BackendServer.Lifetime> listed) {
        startedOrders.keySet().retainAll(listed);
        outOfSync.retainAll(listed);
    }

    /** Returns the sequence number to state in the next order; empty if the engine must be queried for it. */
    synchronized OptionalLong expected(BackendServer server) {
        Long known = startedOrders.get(server.lifetime());
        if (known != null) {
            return OptionalLong.of(known);
        }
        boolean unused = server.group().isEmpty()
                && server.model().isEmpty()
                && server.staged().isEmpty();
        if (!unused || outOfSync.contains(server.lifetime())) {
            return OptionalLong.empty();
        }
        startedOrders.put(server.lifetime(), 0L);
        return OptionalLong.of(0);
    }

    /**
     * Updates the sequence number with the response to an order. An order that completes at once, such as to leave a
     * group, is answered with {@link OrderAnswer#HOLDS} and increments the number as well. After a conflict the number
     * is unknown.
     */
    synchronized void orderAnswered(BackendServer.Lifetime server, OrderAnswer answer, boolean completedAtOnce) {
        if (answer == OrderAnswer.STARTED || (answer == OrderAnswer.HOLDS && completedAtOnce)) {
            startedOrders.computeIfPresent(server, (s, n) -> n + 1);
        } else if (answer == OrderAnswer.CONFLICT) {
            startedOrders.remove(server);
            outOfSync.add(server);
        }
    }

    /** Sets the sequence number that the engine itself reported. */
    synchronized void sequenceReported(BackendServer.Lifetime server, long sequence) {
        startedOrders.put(server, sequence);
        outOfSync.remove(server);
    }
}
