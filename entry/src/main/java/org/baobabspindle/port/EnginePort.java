package org.baobabspindle.port;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.baobabspindle.core.fleet.BackendServer;

/** Orders to model engines and their reports. */
public interface EnginePort {
    /**
     * Sends an order that holds only while the engine has begun no other order since it was last seen.
     *
     * @param server the engine as last seen
     * @param order the order
     * @param timeout the longest wait for an answer
     * @return what is known of the order; never fails
     */
    CompletableFuture<OrderAnswer> order(BackendServer server, EngineOrder order, Duration timeout);

    /**
     * Asks an engine for a report.
     *
     * @param server the engine
     * @param timeout the longest wait for an answer
     * @return whether it answered; never fails
     */
    CompletableFuture<Boolean> probe(BackendServer server, Duration timeout);
}
