package org.baobabspindle.gateway;

import java.time.Duration;
import java.util.function.Consumer;
import org.baobabspindle.core.dispatch.Reachability;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.Liveness;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.port.EnginePort;

/** Probes backend servers with new connections while this entry is partitioned from all of them, or might be. */
final class ReachabilityProber {
    private static final Duration PROBE_TIMEOUT = SuspectGroupProber.PROBE_TIMEOUT;

    private final ReachabilityMonitor monitor;
    private final FleetTable fleet;
    private final EnginePort probes;
    private final Consumer<Reachability> onChange;
    private Reachability state = Reachability.REACHABLE;

    /**
     * Creates a prober.
     *
     * @param probes sends each probe on a new connection
     * @param onChange called after a partition has begun or ended
     */
    ReachabilityProber(
            ReachabilityMonitor monitor, FleetTable fleet, EnginePort probes, Consumer<Reachability> onChange) {
        this.monitor = monitor;
        this.fleet = fleet;
        this.probes = probes;
        this.onChange = onChange;
    }

    /** Evaluates the evidence and sends the probes that are due. */
    void tick(Moment now) {
        monitor.tick(fleet, now).forEach(s -> probe(s, now));
        Reachability current = monitor.state();
        if (current != state) {
            state = current;
            onChange.accept(current);
        }
    }

    private void probe(BackendServer server, Moment now) {
        probes.probeLiveness(server, fleet.healthPath(server), PROBE_TIMEOUT)
                .thenAccept(liveness -> recordProbe(server, liveness, now));
    }

    private void recordProbe(BackendServer server, Liveness liveness, Moment startedAt) {
        switch (liveness) {
            case RUNNING -> monitor.connected(server);
            case SILENT -> monitor.probeUnanswered(server, startedAt);
            case ENDED -> monitor.connectFailed(server, startedAt);
            default -> throw new AssertionError(liveness);
        }
    }
}
