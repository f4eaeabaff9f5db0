package org.baobabspindle.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.WeakHashMap;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import org.baobabspindle.core.dispatch.BatchModel;
import org.baobabspindle.core.dispatch.ColdServers;
import org.baobabspindle.core.dispatch.EntryChanges;
import org.baobabspindle.core.dispatch.LoadTracker;
import org.baobabspindle.core.dispatch.OfferedLoad;
import org.baobabspindle.core.dispatch.PromptRequest;
import org.baobabspindle.core.dispatch.RequestQueue;
import org.baobabspindle.core.dispatch.ServerBackoff;
import org.baobabspindle.core.dispatch.ServerRateLimits;
import org.baobabspindle.core.dispatch.SlowTargetDetector;
import org.baobabspindle.core.dispatch.StallDetector;
import org.baobabspindle.core.dispatch.StreamLimits;
import org.baobabspindle.core.dispatch.Target;
import org.baobabspindle.core.dispatch.TargetCatalog;
import org.baobabspindle.core.dispatch.TargetChooser;
import org.baobabspindle.core.dispatch.TargetHealth;
import org.baobabspindle.core.dispatch.TargetPool;
import org.baobabspindle.core.dispatch.WaitingPolicy;
import org.baobabspindle.core.dispatch.WindowedRetryBudget;
import org.baobabspindle.core.dispatch.ZoneRamp;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.port.GatewaySettings;

/** Assigns waiting requests to targets that have free slots. */
final class Dispatcher {
    /** The time before a request is given up in which it no longer waits for a better target; four rounds of draining. */
    private static final Duration LAST_CHOICE = Duration.ofMillis(200);

    private final FleetTable fleet;
    private final TargetChooser chooser;
    private final IntSupplier entryCount;
    private final BooleanSupplier partitioned;
    private final GatewaySettings.Bounds bounds;
    private final LoadTracker loads = new LoadTracker();
    private final TargetHealth health = new TargetHealth();
    private final ServerBackoff backoff = new ServerBackoff();
    private final ServerRateLimits rateLimits;
    private final SlowTargetDetector slowTargetDetector = new SlowTargetDetector();
    /** The slow targets, and how much slower they are than others. */
    private Map<String, Double> slowTargets = Map.of();

    private final StallDetector stalls = new StallDetector();
    private final Map<TargetPool, RequestQueue<Ticket>> queues = new HashMap<>();
    private final Map<String, WindowedRetryBudget> retryBudgets = new HashMap<>();
    private final OfferedLoad offeredLoad = new OfferedLoad();
    private final ZoneRamp zoneRamp = new ZoneRamp();
    private long lastRevision;

    /** The waiting requests that a cold server would have got otherwise. */
    private final Set<Ticket> withheld = Collections.newSetFromMap(new WeakHashMap<>());

    private long withheldRequests;
    private final Map<TargetPool, StreamLimits> streamLimits = new HashMap<>();
    private boolean placesByTokens;

    private final Executor workers;

    Dispatcher(
            InstanceId self,
            FleetTable fleet,
            TargetChooser chooser,
            IntSupplier entries,
            BooleanSupplier partitioned,
            GatewaySettings.Bounds bounds,
            Executor workers) {
        this.rateLimits = new ServerRateLimits(self);
        this.entryCount = entries;
        this.partitioned = partitioned;
        this.workers = workers;
        this.fleet = fleet;
        this.chooser = chooser;
        this.bounds = bounds;
    }

    private record Assignment(Ticket ticket, Ticket.AssignedTarget target) {}

    /**
     * Queues a request. Its listener is called on a worker thread, because the thread that submits or ends a request
     * may hold the lock of another exchange.
     */
    void submit(Ticket ticket, Moment now) {
        synchronized (this) {
            ticket.prompt().ifPresent(p -> streamLimits
                    .computeIfAbsent(ticket.pool(), x -> new StreamLimits())
                    .record(p, now));
            queues.computeIfAbsent(ticket.pool(), p -> new RequestQueue<>())
                    .add(ticket, ticket.priority(), ticket.waitLimits());
        }
        drain(now);
    }

    /** Removes a request from its queue; returns whether it was still waiting. */
    synchronized boolean withdraw(Ticket ticket) {
        RequestQueue<Ticket> queue = queues.get(ticket.pool());
        return queue != null && queue.remove(ticket);
    }

    /** Assigns free slots to waiting requests and expires those that have waited too long. */
    void drain(Moment now) {
        List<Assignment> assigned = new ArrayList<>();
        List<Ticket> expired = new ArrayList<>();
        boolean held = fleet.evacuations().awaitsNews(now);
        synchronized (this) {
            Function<String, Integer> totals = loads.totals(now);
            for (Map.Entry<TargetPool, RequestQueue<Ticket>> e : queues.entrySet()) {
                for (Ticket t : e.getValue().removeExpired(now)) {
                    TargetChooser.Placement last =
                            choose(t, totals, x -> !held && isLastResort(x, t) && isAvailable(x, now), now);
                    last.target()
                            .ifPresentOrElse(
                                    x -> assigned.add(assignment(t, x, last.predicted(), now)), () -> expired.add(t));
                }
                if (!held) {
                    e.getValue().dispatch(t -> assign(t, totals, assigned, now), now);
                }
            }
        }
        assigned.forEach(a -> workers.execute(() -> a.ticket().listener().targetAssigned(a.target())));
        expired.forEach(t -> workers.execute(t.onExpired()));
    }

    private RequestQueue.Result assign(
            Ticket t, Function<String, Integer> totals, List<Assignment> assigned, Moment now) {
        TargetChooser.Placement placement = choose(t, totals, x -> isUsable(x, t.avoid(), now), now);
        if (placement.target().isEmpty() && !placement.waits()) {
            placement = choose(t, totals, x -> isLastResort(x, t) && isUsable(x, Set.of(), now), now);
        }
        if (placement.target().isEmpty()) {
            countWithheld(t, now);
            return t.avoid().isEmpty() && !placement.waits()
                    ? RequestQueue.Result.FULL
                    : RequestQueue.Result.NOT_SUITED;
        }
        assigned.add(assignment(t, placement.target().get(), placement.predicted(), now));
        return RequestQueue.Result.ACCEPTED;
    }

    private void countWithheld(Ticket t, Moment now) {
        boolean isWithheld = catalog(now).targets(t.pool()).stream()
                .anyMatch(x -> rateLimits.isWithheld(x.server().lifetime(), now));
        if (isWithheld && withheld.add(t)) {
            withheldRequests++;
        }
    }

    private TargetChooser.Placement choose(
            Ticket t, Function<String, Integer> totals, Predicate<Target> usable, Moment now) {
        List<Target> targets = catalog(now).targets(t.pool());
        EvacuationTable evacuations = fleet.evacuations();
        if (!evacuations.isIdle(now)) {
            targets = zoneRamp.next(targets, totals, s -> evacuations.share(s, now));
        }
        int entries = entryCount.getAsInt();
        if (t.prompt().isEmpty()) {
            Optional<Target> target = chooser.choose(
                    FleetScaling.targetChoices(entries),
                    targets,
                    totals,
                    usable,
                    x -> slowTargets.containsKey(x.key()));
            return new TargetChooser.Placement(target, Optional.empty(), false);
        }
        PromptRequest prompt = t.prompt().get();
        return chooser.chooseByTokens(
                FleetScaling.targetChoicesByTokens(entries),
                targets,
                totals,
                usable,
                x -> new BatchModel.Load(
                        loads.unread(x.key()), totals.apply(x.key()), slowTargets.getOrDefault(x.key(), 1.0)),
                prompt,
                streamLimits.computeIfAbsent(t.pool(), x -> new StreamLimits()).tightest(prompt, now),
                now.plus(LAST_CHOICE).isBefore(t.waitLimits().giveUpAt()),
                now);
    }

    private Assignment assignment(Ticket t, Target target, Optional<BatchModel.Prediction> predicted, Moment now) {
        loads.requestSent(target.key());
        long tokens = predicted.isEmpty()
                ? 0
                : t.prompt().map(PromptRequest::promptTokens).orElse(0L);
        if (tokens > 0) {
            placesByTokens = true;
            loads.promptSent(target.key(), tokens);
        }
        rateLimits.requestSent(target.server().lifetime(), now);
        return new Assignment(t, new Ticket.AssignedTarget(target, tokens, predicted));
    }

    /** The first event of a request has arrived, or the request has ended without one. */
    synchronized void promptRead(Ticket.AssignedTarget assigned) {
        if (assigned.promptTokens() > 0) {
            loads.promptRead(assigned.target().key(), assigned.promptTokens());
        }
    }

    /**
     * Returns the prompt tokens of requests without a first event by target; empty if no request was placed by them.
     */
    synchronized Optional<Map<String, Long>> ownUnread() {
        return placesByTokens ? Optional.of(loads.ownUnread()) : Optional.empty();
    }

    /** Returns the targets, after the cold servers among them are known. */
    private TargetCatalog catalog(Moment now) {
        Optional<FleetTable.Listing> listing = fleet.listing();
        if (listing.isEmpty()) {
            return fleet.catalog();
        }
        if (listing.get().revision() != lastRevision) {
            lastRevision = listing.get().revision();
            rateLimits.cold().serversListed(listing.get().coldStarts(bounds), now);
        }
        return listing.get().catalog();
    }

    private static boolean isLastResort(Target target, Ticket t) {
        return t.lastResort().contains(target.key());
    }

    private boolean isUsable(Target target, Set<String> avoid, Moment now) {
        return !avoid.contains(target.key()) && health.isUsable(target.key(), now) && isAvailable(target, now);
    }

    private boolean isAvailable(Target target, Moment now) {
        return backoff.isAvailable(target.server().lifetime(), now)
                && rateLimits.isAvailable(target.server().lifetime(), now);
    }

    /**
     * Returns whether a target has a free slot for a request.
     *
     * @param avoid the keys of targets that do not count
     */
    synchronized boolean hasFreeTarget(TargetPool pool, Set<String> avoid, Moment now) {
        Function<String, Integer> totals = loads.totals(now);
        return targets(pool, now).stream().anyMatch(t -> totals.apply(t.key()) < t.slots() && isUsable(t, avoid, now));
    }

    /**
     * Returns the expected wait of a new request of a pool; days if the pool has no target.
     *
     * @param priority its priority; requests of lower priority do not delay it
     * @param entries the number of entries that send requests to the targets
     */
    synchronized Duration predictedWait(TargetPool pool, int priority, int entries, Moment now) {
        List<Target> targets = targets(pool, now);
        RequestQueue<Ticket> queue = queues.get(pool);
        int ahead = queue == null ? 0 : queue.ahead(priority);
        return predictedWait(pool, targets, ahead, entries, now);
    }

    private Duration predictedWait(TargetPool pool, List<Target> targets, int ahead, int entries, Moment now) {
        Duration serviceTime = offeredLoad.meanServiceTime(pool.model());
        if (targets.stream().anyMatch(t -> isLimited(t, now))) {
            return predictedWaitWithLimits(targets, ahead, serviceTime.multipliedBy(entries), now);
        }
        int slots = targets.stream().mapToInt(Target::slots).sum();
        return WaitingPolicy.predictedWait(ahead, slots, entries, serviceTime);
    }

    /** Returns the targets of a pool with the slots that requests may use. */
    private List<Target> targets(TargetPool pool, Moment now) {
        List<Target> all = catalog(now).targets(pool);
        EvacuationTable evacuations = fleet.evacuations();
        return evacuations.isIdle(now) ? all : ZoneRamp.usable(all, s -> evacuations.share(s, now));
    }

    /**
     * Refuses the waiting requests that the zones that are not evacuated cannot serve in time. Those that were sent
     * before wait within their limits, since work has already been spent on them.
     *
     * @param entries the number of entries that send requests to the targets
     */
    void refuseHopeless(int entries, Moment now) {
        if (fleet.evacuations().zones().isEmpty()) {
            return;
        }
        List<Ticket> refused = new ArrayList<>();
        synchronized (this) {
            queues.forEach((pool, queue) -> {
                List<Target> usable = targets(pool, now);
                if (usable.size() < catalog(now).targets(pool).size()) {
                    refused.addAll(queue.removeHopeless(
                            t -> t.avoid().isEmpty(), n -> predictedWait(pool, usable, n, entries, now), now));
                }
            });
        }
        refused.forEach(t -> workers.execute(t.onExpired()));
    }

    /** Returns whether a request may be sent to its target at this moment. */
    boolean maySend(Target target, Moment now) {
        return fleet.evacuations().maySend(target.server(), now);
    }

    /**
     * Returns the slots of each model, those of plain services together, that requests may use outside of some zones.
     */
    synchronized Map<String, Integer> slotsOutside(Set<AvailabilityZone> zones, Moment now) {
        Map<String, Integer> result = new HashMap<>();
        for (TargetPool pool : fleet.catalog().all().keySet()) {
            int slots = targets(pool, now).stream()
                    .filter(t -> !zones.contains(t.server().zone()))
                    .mapToInt(Target::slots)
                    .sum();
            result.merge(pool.model(), slots, Integer::sum);
        }
        return result;
    }

    private boolean isLimited(Target t, Moment now) {
        return rateLimits.ownRate(t.server().lifetime(), now).isPresent();
    }

    /**
     * Predicts the wait for targets of which some state a rate limit or are cold. It is at most the time until a target
     * without a rate limit is warm, and what its slots take from then on.
     *
     * @param slotInterval how often a slot of a target becomes free for this entry
     */
    private Duration predictedWaitWithLimits(List<Target> targets, int ahead, Duration slotInterval, Moment now) {
        double perSecond = 0;
        int credit = 0;
        boolean allLimited = true;
        Duration warmWait = WaitingPolicy.predictedWait(1, 0);
        for (Target t : targets) {
            double slotRate = t.slots() * 1e9 / slotInterval.toNanos();
            BackendServer.Lifetime server = t.server().lifetime();
            OptionalDouble ownRate = rateLimits.ownRate(server, now);
            if (ownRate.isPresent()) {
                if (!rateLimits.isLimited(server)) {
                    warmWait = shorter(
                            warmWait,
                            rateLimits.cold().left(server, now).plus(WaitingPolicy.predictedWait(ahead, slotRate)));
                }
                perSecond += Math.min(slotRate, ownRate.getAsDouble());
                credit += rateLimits.ownCredit(server, now);
            } else {
                perSecond += slotRate;
                allLimited = false;
            }
        }
        int before = allLimited ? Math.max(0, ahead + 1 - credit) : ahead;
        return shorter(warmWait, WaitingPolicy.predictedWait(before, perSecond));
    }

    private static Duration shorter(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }

    /** Records that a request was sent to its target. */
    synchronized void sent(Target target, boolean streaming, Moment now) {
        if (streaming) {
            stalls.requestSent(target.key(), now);
        }
    }

    /** Records an event of a stream and the interval since the event before it, which is empty for the first one. */
    synchronized void eventReceived(Target target, Optional<Duration> interval, Moment now) {
        health.recordResponse(target.key());
        stalls.eventReceived(target.key(), interval.isEmpty(), now);
        interval.ifPresent(p -> slowTargetDetector.recordInterval(target.key(), p, now));
    }

    /** Detects groups that are slower than others of their model; returns those that were not slow at the last call. */
    synchronized Set<String> detectSlowTargets(Moment now) {
        Map<String, Double> found = new HashMap<>();
        for (List<Target> targets : fleet.catalog().all().values()) {
            List<String> keys = targets.stream().map(Target::key).toList();
            for (String slow : slowTargetDetector.slowTargets(keys, now)) {
                found.put(slow, slowTargetDetector.relativeInterval(slow, keys));
            }
        }
        Set<String> newlySlow = new HashSet<>(found.keySet());
        newlySlow.removeAll(slowTargets.keySet());
        slowTargets = found;
        return newlySlow;
    }

    /** The result of a call to a target, as it counts for the health of the target. */
    enum CallResult {
        /** The target served the request. */
        SUCCEEDED,
        /** The target failed the request. */
        FAILED,
        /** Another instance answered at the address of the target. */
        OTHER_INSTANCE,
        /** The result does not depend on the health of the target. */
        NEUTRAL
    }

    /** Records the end of a call to a target and assigns the slot that it frees. */
    void ended(TargetPool pool, Target target, boolean streaming, boolean started, CallResult result, Moment now) {
        synchronized (this) {
            loads.requestEnded(target.key());
            if (streaming) {
                stalls.requestEnded(target.key(), started);
            }
            recordHealth(target, result, now);
        }
        drain(now);
    }

    private void recordHealth(Target target, CallResult result, Moment now) {
        if (result == CallResult.SUCCEEDED) {
            health.recordSuccess(target.key());
        } else if (result == CallResult.FAILED && !partitioned.getAsBoolean()) {
            if (health.recordFailure(target.key(), now)) {
                rateLimits.cold().excluded(target.server().lifetime(), health.usableAt(target.key(), now), now);
            }
        } else if (result == CallResult.OTHER_INSTANCE) {
            health.recordOtherInstance(target.key(), now);
        }
    }

    /** Sends a server no requests for the time that it asked for. */
    synchronized void backOff(BackendServer.Lifetime server, Duration time, Moment now) {
        backoff.backOff(server, time, now);
    }

    /** Applies what a server stated about its rate limit; returns whether the limit has changed. */
    synchronized boolean rateLimitReported(BackendServer.Lifetime server, ServerRateLimits.Report report, Moment now) {
        return rateLimits.apply(server, report, now);
    }

    /** Returns the reports on rate limits that other entries need. */
    synchronized Map<BackendServer.Lifetime, ServerRateLimits.Report> rateLimitReports(Moment now) {
        return rateLimits.reports(now);
    }

    /** Applies what a server stated about the time for which it stays cold; returns whether it was warm before. */
    synchronized boolean coldReported(BackendServer.Lifetime server, ColdServers.Statement statement, Moment now) {
        return rateLimits.cold().apply(server, statement, now);
    }

    /** Returns the statements of cold servers that other entries need. */
    synchronized Map<BackendServer.Lifetime, ColdServers.Statement> coldReports(Moment now) {
        return rateLimits.cold().reports(now);
    }

    /** Returns the servers that have become cold or warm since the last call. */
    synchronized List<ColdServers.Change> takeColdChanges(Moment now) {
        return rateLimits.cold().takeChanges(now);
    }

    /** Returns the cold servers. */
    synchronized Set<BackendServer.Lifetime> coldServers(Moment now) {
        return rateLimits.cold().all(now);
    }

    /** Returns the number of requests that waited while a cold server was not used for them. */
    synchronized long withheldRequests() {
        return withheldRequests;
    }

    /** Applies a read of the announcements of entries, which share the limits of cold servers. */
    synchronized void announcementsRead(EntryChanges changes, Moment requestedAt, Moment now) {
        rateLimits.announcementsRead(changes, requestedAt, now);
    }

    /** Records that another entry has sent a message to this one. */
    synchronized void heardFrom(InstanceId entry) {
        rateLimits.heardFrom(entry);
    }

    /** Records that another entry has answered a message that this one sent at a time. */
    synchronized void answered(InstanceId entry, Moment requestedAt) {
        rateLimits.answered(entry, requestedAt);
    }

    /** Changes the entries that share the rate limits of servers, this one included. */
    synchronized void updateRateSharing(Set<InstanceId> entries, Moment now) {
        rateLimits.updateEntries(entries, now);
    }

    /** Makes all targets usable again after a partition of this entry, whose failures show nothing about them. */
    void partitionEnded(Moment now) {
        synchronized (this) {
            health.reset();
            rateLimits.cold().forgetExclusions();
        }
        drain(now);
    }

    synchronized void exclude(String target, Moment until) {
        health.excludeUntil(target, until);
    }

    /** Ends the exclusion of a target for not responding, because it responds again. */
    void endExclusion(String target, Moment now) {
        synchronized (this) {
            health.recordResponse(target);
        }
        drain(now);
    }

    synchronized List<String> suspects(Moment now) {
        return stalls.newSuspects(now);
    }

    synchronized boolean unresponsive(String target, Moment now) {
        return stalls.hasNoRecentEvent(target, now);
    }

    synchronized void clearSuspicion(String target, Moment now) {
        stalls.clearSuspicion(target, now);
    }

    synchronized void requestArrived(TargetPool pool, Moment now) {
        retryBudget(pool.service()).recordRequest(now);
        offeredLoad.recordArrival(pool.model(), now);
    }

    /** Records how long a served request occupied its slot. */
    synchronized void requestServed(TargetPool pool, Duration time) {
        offeredLoad.recordServiceTime(pool.model(), time);
    }

    synchronized boolean tryRetry(String service, int entries, Moment now) {
        return retryBudget(service).tryAcquire(entries, now);
    }

    private WindowedRetryBudget retryBudget(String service) {
        return retryBudgets.computeIfAbsent(
                service, s -> new WindowedRetryBudget(bounds.retryRatio(), bounds.retryBurst(), bounds.retryWindow()));
    }

    /**
     * Applies the counts of another entry.
     *
     * @param unread the prompt tokens of its requests without a first event; null if it does not tell them
     */
    synchronized void updatePeerCounts(
            InstanceId entry, Map<String, Integer> counts, Map<String, Long> unread, Moment now) {
        loads.setMeanPromptTokens(fleet.catalog().meanPromptTokens());
        loads.updatePeerCounts(entry, counts, Optional.ofNullable(unread), now);
    }

    synchronized Map<String, Integer> ownCounts() {
        return loads.ownCounts();
    }

    /** Returns the number of slots that the load offered to this entry requires, by model. */
    synchronized Map<String, Double> demand(Moment now) {
        return offeredLoad.requiredSlots(now);
    }
}
