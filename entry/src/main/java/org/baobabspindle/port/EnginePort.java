package org.baobabspindle.port;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.baobabspindle.core.fleet.BackendServer;

/** Orders to model engines and their reports. */
public interface EnginePort {
    /**
     * Sends an order.
     *
     * @param server the engine
     * @param order the order
     * @param expectedSequence the orders that the engine must have begun until now; empty if any number will do
     * @param timeout the longest wait for an answer
     * @return what is known of the order; never fails
     */
    CompletableFuture<OrderAnswer> order(
            BackendServer server, EngineOrder order, OptionalLong expectedSequence, Duration timeout);

    /**
     * Asks an engine for a report.
     *
     * @param server the engine
     * @param timeout the longest wait for an answer
     * @return the report; empty if it did not answer; never fails
     */
    CompletableFuture<Optional<EngineReport>> probe(BackendServer server, Duration timeout);
}
