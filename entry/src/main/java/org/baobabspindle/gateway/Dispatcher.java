package org.baobabspindle.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Function;
import java.util.function.IntSupplier;
import org.baobabspindle.core.dispatch.LoadTracker;
import org.baobabspindle.core.dispatch.OfferedLoad;
import org.baobabspindle.core.dispatch.RequestQueue;
import org.baobabspindle.core.dispatch.ServerBackoff;
import org.baobabspindle.core.dispatch.SlowTargetDetector;
import org.baobabspindle.core.dispatch.StallDetector;
import org.baobabspindle.core.dispatch.Target;
import org.baobabspindle.core.dispatch.TargetChooser;
import org.baobabspindle.core.dispatch.TargetHealth;
import org.baobabspindle.core.dispatch.TargetPool;
import org.baobabspindle.core.dispatch.WaitingPolicy;
import org.baobabspindle.core.dispatch.WindowedRetryBudget;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.port.GatewaySettings;

/** Brings requests that wait and targets with free slots together. */
final class Dispatcher {
    private final FleetTable fleet;
    private final TargetChooser chooser;
    private final IntSupplier entries;
    private final GatewaySettings.Bounds bounds;
    private final LoadTracker loads = new LoadTracker();
    private final TargetHealth health = new TargetHealth();
    private final ServerBackoff pauses = new ServerBackoff();
    private final SlowTargetDetector pace = new SlowTargetDetector();
    private Set<String> slow = Set.of();
    private final StallDetector silence = new StallDetector();
    private final Map<TargetPool, RequestQueue<Ticket>> lines = new HashMap<>();
    private final Map<String, WindowedRetryBudget> retries = new HashMap<>();
    private final OfferedLoad offered = new OfferedLoad();

    private final Executor workers;

    Dispatcher(
            FleetTable fleet,
            TargetChooser chooser,
            IntSupplier entries,
            GatewaySettings.Bounds bounds,
            Executor workers) {
        this.entries = entries;
        this.workers = workers;
        this.fleet = fleet;
        this.chooser = chooser;
        this.bounds = bounds;
    }

    /**
     * A request that wants a target.
     *
     * @param pool the targets that can serve it
     * @param priority its rank, 0 goes first
     * @param waitLimits how long waiting is useful
     * @param avoid the keys of targets that it has already been sent to
     * @param listener hears its target
     * @param onExpired hears that its time is over
     */
    record Ticket(
            TargetPool pool,
            int priority,
            RequestQueue.WaitLimits waitLimits,
            Set<String> avoid,
            TargetListener listener,
            Runnable onExpired) {
        /** Copies the set. */
        Ticket {
            avoid = Set.copyOf(avoid);
        }

        @Override
        public boolean equals(Object other) {
            return this == other;
        }

        @Override
        public int hashCode() {
            return System.identityHashCode(this);
        }
    }

    /** Hears the target of a request. */
    interface TargetListener {
        void targetAssigned(Target target);
    }

    private record Assignment(Ticket ticket, Target target) {}

    /**
     * Adds a request. Its taker is called on a worker, since whoever submits or ends a request may hold the lock of another
     * exchange.
     */
    void submit(Ticket ticket, Moment now) {
        synchronized (this) {
            lines.computeIfAbsent(ticket.pool(), p -> new RequestQueue<>())
                    .add(ticket, ticket.priority(), ticket.waitLimits());
        }
        drain(now);
    }

    /** Takes a request back; returns whether it still waited. */
    synchronized boolean withdraw(Ticket ticket) {
        RequestQueue<Ticket> line = lines.get(ticket.pool());
        return line != null && line.remove(ticket);
    }

    /** Hands free slots to requests that wait and gives up those whose time is over. */
    void drain(Moment now) {
        List<Assignment> assigned = new ArrayList<>();
        List<Ticket> expired = new ArrayList<>();
        synchronized (this) {
            Function<String, Integer> totals = loads.totals(now);
            for (Map.Entry<TargetPool, RequestQueue<Ticket>> e : lines.entrySet()) {
                expired.addAll(e.getValue().removeExpired(now));
                e.getValue().dispatch(t -> assign(t, totals, assigned, now), now);
            }
        }
        assigned.forEach(a -> workers.execute(() -> a.ticket().listener().targetAssigned(a.target())));
        expired.forEach(t -> workers.execute(t.onExpired()));
    }

    private boolean assign(Ticket t, Function<String, Integer> totals, List<Assignment> assigned, Moment now) {
        int choices = FleetPace.choices(entries.getAsInt());
        List<Target> targets = fleet.catalog().targets(t.pool());
        Optional<Target> target = chooser.choose(
                choices,
                targets,
                totals,
                x -> !t.avoid().contains(x.key())
                        && health.isUsable(x.key(), now)
                        && pauses.isAvailable(x.server().lifetime(), now),
                x -> slow.contains(x.key()));
        if (target.isEmpty()) {
            return false;
        }
        loads.requestSent(target.get().key());
        assigned.add(new Assignment(t, target.get()));
        return true;
    }

    /** Returns how long a new request of a pool is likely to wait; days if the pool has no target. */
    synchronized Duration predictedWait(TargetPool pool, int entries, Moment now) {
        List<Target> targets = fleet.catalog().targets(pool);
        int slots = targets.stream().mapToInt(Target::slots).sum();
        RequestQueue<Ticket> line = lines.get(pool);
        int ahead = line == null ? 0 : line.size();
        return WaitingPolicy.predictedWait(ahead, slots, entries, offered.meanServiceTime(pool.model()));
    }

    /** Notes that a request was handed to its target. */
    synchronized void sent(Target target, boolean streaming, Moment now) {
        if (streaming) {
            silence.requestSent(target.key(), now);
        }
    }

    /** Notes an event of a stream and the pause before it; empty before its first one. */
    synchronized void eventReceived(Target target, Optional<Duration> pause, Moment now) {
        silence.eventReceived(target.key(), pause.isEmpty(), now);
        pause.ifPresent(p -> pace.recordInterval(target.key(), p, now));
    }

    /** Looks for groups that are slower than others of their model; returns those that were not slow before. */
    synchronized Set<String> detectSlowTargets(Moment now) {
        Set<String> found = new HashSet<>();
        fleet.catalog()
                .all()
                .values()
                .forEach(targets -> found.addAll(
                        pace.slowTargets(targets.stream().map(Target::key).toList(), now)));
        Set<String> fresh = new HashSet<>(found);
        fresh.removeAll(slow);
        slow = found;
        return fresh;
    }

    /** How a request at a target ended, as far as the target's health goes. */
    enum CallResult {
        /** The target answered as it should. */
        SUCCEEDED,
        /** The target failed the request. */
        FAILED,
        /** The end says nothing about the target. */
        NEUTRAL
    }

    /** Notes the end of a request at a target; waiting requests may go on. */
    void ended(TargetPool pool, Target target, boolean streaming, boolean started, CallResult verdict, Moment now) {
        synchronized (this) {
            loads.requestEnded(target.key());
            if (streaming) {
                silence.requestEnded(target.key(), started);
            }
            if (verdict == CallResult.SUCCEEDED) {
                health.recordSuccess(target.key());
            } else if (verdict == CallResult.FAILED) {
                health.recordFailure(target.key(), now);
            }
        }
        drain(now);
    }

    /** Sends a server nothing for a time, as it asks. */
    synchronized void pause(BackendServer.Lifetime server, Duration time, Moment now) {
        pauses.backOff(server, time, now);
    }

    synchronized void exclude(String target, Moment until) {
        health.excludeUntil(target, until);
    }

    synchronized List<String> suspects(Moment now) {
        return silence.newSuspects(now);
    }

    synchronized boolean unresponsive(String target, Moment now) {
        return silence.hasNoRecentEvent(target, now);
    }

    synchronized void clearSuspicion(String target, Moment now) {
        silence.clearSuspicion(target, now);
    }

    synchronized void requestArrived(TargetPool pool, Moment now) {
        retryWindow(pool.service()).recordRequest(now);
        offered.recordArrival(pool.model(), now);
    }

    /** Notes how long a request that was served held its slot. */
    synchronized void requestServed(TargetPool pool, Duration time) {
        offered.recordServiceTime(pool.model(), time);
    }

    synchronized boolean tryRetry(String service, int entries, Moment now) {
        return retryWindow(service).tryAcquire(entries, now);
    }

    private WindowedRetryBudget retryWindow(String service) {
        return retries.computeIfAbsent(
                service, s -> new WindowedRetryBudget(bounds.retryRatio(), bounds.retryBurst(), bounds.retryWindow()));
    }

    synchronized void peerCounts(InstanceId entry, Map<String, Integer> counts, Moment now) {
        loads.updatePeerCounts(entry, counts, now);
    }

    synchronized Map<String, Integer> ownCounts() {
        return loads.ownCounts();
    }

    /** Returns the slots that the requests to this entry would fill, by model. */
    synchronized Map<String, Double> demand(Moment now) {
        return offered.requiredSlots(now);
    }
}
