package org.baobabspindle.port;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.Liveness;

/** Sends orders to model engines, requests their reports and checks the liveness of backend servers of any kind. */
public interface EnginePort {
    /**
     * Sends an order to an engine.
     *
     * @param server the engine
     * @param order the order
     * @param expectedSequence the number of orders that the engine must have started so far for it to accept this one;
     *     empty accepts any number
     * @param timeout the longest wait for an answer
     * @return the result of the order; the future never completes exceptionally
     */
    CompletableFuture<OrderAnswer> sendOrder(
            BackendServer server, EngineOrder order, OptionalLong expectedSequence, Duration timeout);

    /**
     * Requests a report from an engine.
     *
     * @param server the engine
     * @param timeout the longest wait for an answer
     * @return the report, empty if the engine did not answer; the future never completes exceptionally
     */
    CompletableFuture<Optional<EngineReport>> probe(BackendServer server, Duration timeout);

    /**
     * Checks whether a backend server is still running in the same lifetime, that is without a restart, in which it was
     * listed.
     *
     * @param server the backend server
     * @param healthPath the health check path of its service; ignored for engines
     * @param timeout the longest wait for an answer
     * @return the result of the check; the future never completes exceptionally
     */
    CompletableFuture<Liveness> probeLiveness(BackendServer server, String healthPath, Duration timeout);
}
