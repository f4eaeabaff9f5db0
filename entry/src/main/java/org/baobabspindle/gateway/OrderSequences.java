package org.baobabspindle.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.port.OrderAnswer;

/**
 * How many orders each engine has begun, as this keeper knows. An order states the number it expects, so that of two orders
 * sent in the same state only one begins, however late the other one is carried out.
 */
final class OrderSequences {
    private final Map<BackendServer.Lifetime, Long> begun = new HashMap<>();

    /** Returns the number to expect; empty if the engine must be asked. */
    synchronized OptionalLong expected(BackendServer server) {
        Long known = begun.get(server.lifetime());
        if (known != null) {
            return OptionalLong.of(known);
        }
        boolean untouched = server.group().isEmpty() && server.model().isEmpty();
        return untouched ? OptionalLong.of(0) : OptionalLong.empty();
    }

    /** Takes over the answer to an order. */
    synchronized void answered(BackendServer.Lifetime server, OrderAnswer answer) {
        if (answer == OrderAnswer.STARTED) {
            begun.merge(server, 1L, Long::sum);
        } else if (answer == OrderAnswer.CONFLICT) {
            begun.remove(server);
        }
    }

    /** Takes over the engine's own report. */
    synchronized void reported(BackendServer.Lifetime server, long sequence) {
        begun.put(server, sequence);
    }
}
