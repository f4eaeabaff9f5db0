package org.baobabspindle.port;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.Liveness;

/** Orders to model engines, their reports, and whether a backend server of any kind runs. */
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
    CompletableFuture<OrderAnswer> sendOrder(
            BackendServer server, EngineOrder order, OptionalLong expectedSequence, Duration timeout);

    /**
     * Asks an engine for a report.
     *
     * @param server the engine
     * @param timeout the longest wait for an answer
     * @return the report; empty if it did not answer; never fails
     */
    CompletableFuture<Optional<EngineReport>> probe(BackendServer server, Duration timeout);

    /**
     * Asks whether a backend server still runs in the life in which it was listed.
     *
     * @param server the backend server
     * @param healthPath the path of health checks of its service; not used for engines
     * @param timeout the longest wait for an answer
     * @return what the question showed; never fails
     */
    CompletableFuture<Liveness> probeLiveness(BackendServer server, String healthPath, Duration timeout);
}
