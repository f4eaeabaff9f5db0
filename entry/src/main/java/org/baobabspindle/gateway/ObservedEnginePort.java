package org.baobabspindle.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.Liveness;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.port.EngineOrder;
import org.baobabspindle.port.EnginePort;
import org.baobabspindle.port.EngineReport;
import org.baobabspindle.port.OrderAnswer;

/** Records the results of orders and probes as evidence of reachability. */
final class ObservedEnginePort implements EnginePort {
    private final EnginePort delegate;
    private final ReachabilityMonitor monitor;
    private final GatewayClock clock;

    ObservedEnginePort(EnginePort delegate, ReachabilityMonitor monitor, GatewayClock clock) {
        this.clock = clock;
        this.delegate = delegate;
        this.monitor = monitor;
    }

    @Override
    public CompletableFuture<OrderAnswer> sendOrder(
            BackendServer server, EngineOrder order, OptionalLong expectedSequence, Duration timeout) {
        Moment startedAt = clock.now();
        return delegate.sendOrder(server, order, expectedSequence, timeout).thenApply(answer -> {
            record(server, startedAt, answer != OrderAnswer.UNKNOWN && answer != OrderAnswer.UNREACHABLE);
            return answer;
        });
    }

    @Override
    public CompletableFuture<Optional<EngineReport>> probe(BackendServer server, Duration timeout) {
        Moment startedAt = clock.now();
        return delegate.probe(server, timeout).thenApply(report -> {
            record(server, startedAt, report.isPresent());
            return report;
        });
    }

    /** A refused connection may be the answer of a server whose process has ended, so it counts as a failure only. */
    @Override
    public CompletableFuture<Liveness> probeLiveness(BackendServer server, String healthPath, Duration timeout) {
        Moment startedAt = clock.now();
        return delegate.probeLiveness(server, healthPath, timeout).thenApply(liveness -> {
            record(server, startedAt, liveness == Liveness.RUNNING);
            return liveness;
        });
    }

    private void record(BackendServer server, Moment startedAt, boolean answered) {
        if (answered) {
            monitor.received(server);
        } else {
            monitor.failed(server, startedAt);
        }
    }
}
