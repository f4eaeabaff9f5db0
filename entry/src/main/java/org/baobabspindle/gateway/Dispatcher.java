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
import org.baobabspindle.core.dispatch.LoadBoard;
import org.baobabspindle.core.dispatch.OfferedLoad;
import org.baobabspindle.core.dispatch.PaceWatch;
import org.baobabspindle.core.dispatch.RetryWindow;
import org.baobabspindle.core.dispatch.ServerPauses;
import org.baobabspindle.core.dispatch.SilenceWatch;
import org.baobabspindle.core.dispatch.Target;
import org.baobabspindle.core.dispatch.TargetChooser;
import org.baobabspindle.core.dispatch.TargetHealth;
import org.baobabspindle.core.dispatch.TargetPool;
import org.baobabspindle.core.dispatch.WaitingLine;
import org.baobabspindle.core.dispatch.WaitingPolicy;
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
    private final LoadBoard loads = new LoadBoard();
    private final TargetHealth health = new TargetHealth();
    private final ServerPauses pauses = new ServerPauses();
    private final PaceWatch pace = new PaceWatch();
    private Set<String> slow = Set.of();
    private final SilenceWatch silence = new SilenceWatch();
    private final Map<TargetPool, WaitingLine<Ticket>> lines = new HashMap<>();
    private final Map<String, RetryWindow> retries = new HashMap<>();
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
     * @param patience how long waiting is useful
     * @param avoid the keys of targets that it has already been sent to
     * @param taker hears its target
     * @param giveUp hears that its time is over
     */
    record Ticket(
            TargetPool pool,
            int priority,
            WaitingLine.Patience patience,
            Set<String> avoid,
            Taker taker,
            Runnable giveUp) {
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
    interface Taker {
        void take(Target target);
    }

    private record Assignment(Ticket ticket, Target target) {}

    /**
     * Adds a request. Its taker is called on a worker, since whoever submits or ends a request may hold the lock of another
     * exchange.
     */
    void submit(Ticket ticket, Moment now) {
        synchronized (this) {
            lines.computeIfAbsent(ticket.pool(), p -> new WaitingLine<>())
                    .add(ticket, ticket.priority(), ticket.patience());
        }
        drain(now);
    }

    /** Takes a request back; returns whether it still waited. */
    synchronized boolean withdraw(Ticket ticket) {
        WaitingLine<Ticket> line = lines.get(ticket.pool());
        return line != null && line.remove(ticket);
    }

    /** Hands free slots to requests that wait and gives up those whose time is over. */
    void drain(Moment now) {
        List<Assignment> assigned = new ArrayList<>();
        List<Ticket> expired = new ArrayList<>();
        synchronized (this) {
            Function<String, Integer> totals = loads.totals(now);
            for (Map.Entry<TargetPool, WaitingLine<Ticket>> e : lines.entrySet()) {
                expired.addAll(e.getValue().expired(now));
                e.getValue().offer(t -> assign(t, totals, assigned, now), now);
            }
        }
        assigned.forEach(a -> workers.execute(() -> a.ticket().taker().take(a.target())));
        expired.forEach(t -> workers.execute(t.giveUp()));
    }

    private boolean assign(Ticket t, Function<String, Integer> totals, List<Assignment> assigned, Moment now) {
        int choices = FleetPace.choices(entries.getAsInt());
        List<Target> targets = fleet.catalog().targets(t.pool());
        Optional<Target> target = chooser.choose(
                choices,
                targets,
                totals,
                x -> !t.avoid().contains(x.key())
                        && health.usable(x.key(), now)
                        && pauses.usable(x.server().lifetime(), now),
                x -> slow.contains(x.key()));
        if (target.isEmpty()) {
            return false;
        }
        loads.sent(target.get().key());
        assigned.add(new Assignment(t, target.get()));
        return true;
    }

    /** Returns how long a new request of a pool is likely to wait; days if the pool has no target. */
    synchronized Duration predictedWait(TargetPool pool, int entries, Moment now) {
        List<Target> targets = fleet.catalog().targets(pool);
        int slots = targets.stream().mapToInt(Target::slots).sum();
        WaitingLine<Ticket> line = lines.get(pool);
        int ahead = line == null ? 0 : line.size();
        return WaitingPolicy.predictedWait(ahead, slots, entries, offered.slotTime(pool.model()));
    }

    /** Notes that a request was handed to its target. */
    synchronized void sent(Target target, boolean streaming, Moment now) {
        if (streaming) {
            silence.sent(target.key(), now);
        }
    }

    /** Notes an event of a stream and the pause before it; empty before its first one. */
    synchronized void event(Target target, Optional<Duration> pause, Moment now) {
        silence.event(target.key(), pause.isEmpty(), now);
        pause.ifPresent(p -> pace.pause(target.key(), p, now));
    }

    /** Looks for groups that are slower than others of their model; returns those that were not slow before. */
    synchronized Set<String> judgePace(Moment now) {
        Set<String> found = new HashSet<>();
        fleet.catalog()
                .all()
                .values()
                .forEach(targets -> found.addAll(
                        pace.slowAmong(targets.stream().map(Target::key).toList(), now)));
        Set<String> fresh = new HashSet<>(found);
        fresh.removeAll(slow);
        slow = found;
        return fresh;
    }

    /** How a request at a target ended, as far as the target's health goes. */
    enum Verdict {
        /** The target answered as it should. */
        SOUND,
        /** The target failed the request. */
        FAILED,
        /** The end says nothing about the target. */
        NEUTRAL
    }

    /** Notes the end of a request at a target; waiting requests may go on. */
    void ended(TargetPool pool, Target target, boolean streaming, boolean started, Verdict verdict, Moment now) {
        synchronized (this) {
            loads.ended(target.key());
            if (streaming) {
                silence.ended(target.key(), started);
            }
            if (verdict == Verdict.SOUND) {
                health.succeeded(target.key());
            } else if (verdict == Verdict.FAILED) {
                health.failed(target.key(), now);
            }
        }
        drain(now);
    }

    /** Sends a server nothing for a time, as it asks. */
    synchronized void pause(BackendServer.Lifetime server, Duration time, Moment now) {
        pauses.pause(server, time, now);
    }

    synchronized void leaveOut(String target, Moment until) {
        health.leaveOut(target, until);
    }

    synchronized List<String> doubts(Moment now) {
        return silence.doubts(now);
    }

    synchronized boolean quiet(String target, Moment now) {
        return silence.quiet(target, now);
    }

    synchronized void sound(String target, Moment now) {
        silence.sound(target, now);
    }

    synchronized void requested(TargetPool pool, Moment now) {
        retryWindow(pool.service()).requested(now);
        offered.arrived(pool.model(), now);
    }

    /** Notes how long a request that was served held its slot. */
    synchronized void served(TargetPool pool, Duration time) {
        offered.served(pool.model(), time);
    }

    synchronized boolean tryRetry(String service, int entries, Moment now) {
        return retryWindow(service).tryRetry(entries, now);
    }

    private RetryWindow retryWindow(String service) {
        return retries.computeIfAbsent(
                service, s -> new RetryWindow(bounds.retryRatio(), bounds.retryBurst(), bounds.retryWindow()));
    }

    synchronized void peerCounts(InstanceId entry, Map<String, Integer> counts, Moment now) {
        loads.peerCounts(entry, counts, now);
    }

    synchronized Map<String, Integer> ownCounts() {
        return loads.own();
    }

    /** Returns the slots that the requests to this entry would fill, by model. */
    synchronized Map<String, Double> demand(Moment now) {
        return offered.slots(now);
    }
}
