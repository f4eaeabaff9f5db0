package org.baobabspindle.gateway;

import java.io.EOFException;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.channels.ClosedChannelException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.baobabspindle.core.dispatch.BackendReachability;
import org.baobabspindle.core.dispatch.Reachability;
import org.baobabspindle.core.dispatch.TargetCatalog;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.logging.EventLog;

/**
 * Observes the traffic with backend servers and tells whether this entry is partitioned from all of them. Lock order:
 * its lock is acquired after all others.
 */
final class ReachabilityMonitor implements BackendLink {
    private static final Duration DOMAIN_LOG_INTERVAL = Duration.ofSeconds(1);

    private final GatewayClock clock;
    private final EventLog log;
    private final BackendReachability reachability = new BackendReachability();

    /** The catalog whose servers are set, which only the periodic evaluation uses. */
    private TargetCatalog listed = TargetCatalog.empty();

    private Moment changedAt;

    /** The time of the last log line on evidence that the loss of one failure domain explains. */
    private Optional<Moment> domainLoggedAt = Optional.empty();

    /** The state; a change is made while the lock is held. */
    private volatile Reachability state = Reachability.REACHABLE;

    ReachabilityMonitor(GatewayClock clock, EventLog log) {
        this.clock = clock;
        this.log = log;
        this.changedAt = clock.now();
    }

    Reachability state() {
        return state;
    }

    @Override
    public boolean isPartitioned() {
        return state == Reachability.PARTITIONED;
    }

    @Override
    public synchronized boolean heardWithin(Duration observed) {
        return reachability.heardWithin(observed);
    }

    /** Returns whether a backend server other than some was heard from at a time or later. */
    synchronized boolean heardFromOthersSince(Moment since, Collection<BackendServer> except) {
        Set<InstanceId> ids = new HashSet<>();
        except.forEach(s -> ids.add(s.id()));
        return reachability.heardFromOthersSince(since, ids);
    }

    /** Returns whether a request that could not be sent to a server is likely to fail at others as well. */
    @Override
    public synchronized boolean othersFail(BackendServer server) {
        return reachability.othersFail(server.id());
    }

    synchronized void requestSent(BackendServer server) {
        reachability.requestSent(server.id());
    }

    /** Records that anything was received from a server. */
    synchronized void received(BackendServer server) {
        Moment now = clock.now();
        reachability.received(server.id(), now);
        update(now);
    }

    /**
     * Records the end of a request.
     *
     * @param failure why it failed; empty if it succeeded
     * @param sent whether it had been sent; otherwise there was no connection
     */
    synchronized void ended(BackendServer server, Optional<Throwable> failure, boolean sent) {
        reachability.ended(server.id());
        if (failure.filter(ReachabilityMonitor::isNetworkFailure).isEmpty()) {
            return;
        }
        Moment now = clock.now();
        if (sent) {
            reachability.failed(server.id(), now, now);
        } else {
            boolean timedOut = failure.orElseThrow() instanceof SocketTimeoutException;
            Moment startedAt = timedOut ? now.minus(GatewayServer.CONNECT_TIMEOUT) : now;
            reachability.connectFailed(server.id(), startedAt, now);
        }
    }

    /** Returns whether the peer did not end the connection in order, and this entry did not either. */
    private static boolean isNetworkFailure(Throwable t) {
        return t instanceof IOException && !(t instanceof EOFException) && !(t instanceof ClosedChannelException);
    }

    /** Records that a server did not answer a request of this entry's own that was sent at a time. */
    synchronized void failed(BackendServer server, Moment startedAt) {
        reachability.failed(server.id(), startedAt, clock.now());
    }

    /** Records that a probe on a new connection was not answered. */
    synchronized void probeUnanswered(BackendServer server, Moment startedAt) {
        reachability.probeUnanswered(server.id(), startedAt, clock.now());
    }

    /** Records that a server refused a new connection. */
    synchronized void connectFailed(BackendServer server, Moment startedAt) {
        reachability.connectFailed(server.id(), startedAt, clock.now());
    }

    /** Records that a server answered on a new connection. */
    synchronized void connected(BackendServer server) {
        reachability.connected(clock.now());
        received(server);
    }

    /**
     * Evaluates the evidence; called periodically, by one thread at a time.
     *
     * @param fleet the table of the servers that are listed
     * @return the servers to probe with new connections
     */
    List<BackendServer> tick(FleetTable fleet, Moment now) {
        TargetCatalog catalog = fleet.catalog();
        if (catalog != listed) {
            listed = catalog;
            setServers(shuffledIds(fleet, now), failureDomains(fleet));
        }
        Set<InstanceId> due = evaluate(now);
        if (due.isEmpty()) {
            return List.of();
        }
        return fleet.servers().stream().filter(s -> due.contains(s.id())).toList();
    }

    private synchronized void setServers(List<InstanceId> servers, Map<InstanceId, String> failureDomains) {
        reachability.setServers(servers, failureDomains);
    }

    private static Map<InstanceId, String> failureDomains(FleetTable fleet) {
        Map<InstanceId, String> domains = new HashMap<>();
        fleet.servers().forEach(s -> domains.put(s.id(), s.failureDomain()));
        return domains;
    }

    private synchronized Set<InstanceId> evaluate(Moment now) {
        reachability.tick(now);
        update(now);
        if (state == Reachability.REACHABLE) {
            reachability.suspectedDomain().ifPresent(d -> logSuspectedDomain(d, now));
        }
        return new HashSet<>(reachability.serversToProbe(now));
    }

    private void logSuspectedDomain(String domain, Moment now) {
        boolean recent = domainLoggedAt
                .filter(at -> now.since(at).compareTo(DOMAIN_LOG_INTERVAL) < 0)
                .isPresent();
        if (!recent) {
            domainLoggedAt = Optional.of(now);
            log.write(
                    "partition",
                    "servers of one failure domain do not respond; others are probed",
                    "domain",
                    domain,
                    "failed",
                    reachability.evidence().failedServers());
        }
    }

    /** Returns the servers that accept requests; in random order, so that entries do not all probe the same ones. */
    private static List<InstanceId> shuffledIds(FleetTable fleet, Moment now) {
        List<InstanceId> ids = new ArrayList<>();
        fleet.servers().stream().filter(BackendServer::ready).forEach(s -> ids.add(s.id()));
        Collections.shuffle(ids, new Random(now.monotonicNanos()));
        return ids;
    }

    private void update(Moment now) {
        Reachability current = reachability.state();
        if (current == state) {
            return;
        }
        BackendReachability.Evidence evidence = reachability.evidence();
        log.write(
                "partition",
                current == Reachability.PARTITIONED
                        ? "no backend server can be reached"
                        : "backend servers can be reached again",
                "state",
                current,
                "failed",
                evidence.failedServers(),
                "domains",
                evidence.failedDomains(),
                "silentMs",
                evidence.silence().toMillis(),
                "isolated",
                evidence.isolated(),
                "disconnected",
                evidence.disconnected(),
                "beforeMs",
                now.monotonicMillisSince(changedAt));
        changedAt = now;
        state = current;
    }
}
