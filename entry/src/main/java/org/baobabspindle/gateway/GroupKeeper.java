package org.baobabspindle.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.EngineModel;
import org.baobabspindle.core.fleet.EngineProfile;
import org.baobabspindle.core.fleet.FleetConfiguration;
import org.baobabspindle.core.fleet.FleetService;
import org.baobabspindle.core.fleet.Liveness;
import org.baobabspindle.core.fleet.PlanPolicy;
import org.baobabspindle.core.formation.EvacuatedEngines;
import org.baobabspindle.core.formation.Formation;
import org.baobabspindle.core.formation.FormationAction;
import org.baobabspindle.core.formation.GroupPlanner;
import org.baobabspindle.core.formation.ModelDemand;
import org.baobabspindle.core.formation.SilentEngines;
import org.baobabspindle.core.formation.SuspicionReports;
import org.baobabspindle.core.formation.WeightLoadLimiter;
import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.core.id.FabricDomain;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.logging.EventLog;
import org.baobabspindle.port.EngineOrder;
import org.baobabspindle.port.EnginePort;
import org.baobabspindle.port.EngineReport;
import org.baobabspindle.port.GatewaySettings;
import org.baobabspindle.port.OrderAnswer;

/**
 * Forms, opens, converts and dissolves the groups of the fabric domains whose lease partitions this entry holds.
 * Decisions are made by {@link Formation}; this class supplies its input and sends its orders to the engines.
 */
final class GroupKeeper {
    /** The timeout of an order: a hundred times the usual response time, yet short enough to retry soon. */
    private static final Duration ORDER_TIMEOUT = Duration.ofMillis(500);

    /**
     * How long an unresponsive engine counts as lost; by then the server list has dropped it, or it is probed again.
     */
    private static final Duration LOST_DURATION = Duration.ofSeconds(4);

    /** The reference engines of the same domain, and of other domains, that are probed together with a suspect. */
    private static final int MAX_REFERENCES = 2;

    /** The time between two probes of a lost engine, which serves on if it was only unreachable for a short time. */
    private static final Duration LOST_PROBE_INTERVAL = Duration.ofMillis(200);

    /** The path of liveness probes; engines have no health check path. */
    private static final String HEALTH_PATH = "/";

    /** The epochs that one term provides. A keeper holds a term for hours at most, so they do not run out. */
    private static final long EPOCHS_PER_TERM = 100_000;

    private final EnginePort engines;
    private final GatewaySettings settings;
    private final PlanPolicy policy;
    private final KeeperLease lease;
    private final BooleanSupplier partitioned;
    private final GatewayClock clock;
    private final EventLog log;
    private final GatewayMetrics metrics;
    private final Formation formation = new Formation();
    private final OrderSequences sequences = new OrderSequences();
    private final SuspicionReports suspicionReports = new SuspicionReports();
    private final SilentEngines silentEngines = new SilentEngines();
    private final WeightLoadLimiter loadLimiter;
    private final Map<BackendServer.Lifetime, Moment> lostUntil = new HashMap<>();
    private final Set<BackendServer.Lifetime> terminated = new HashSet<>();
    private final Map<BackendServer.Lifetime, Moment> lostProbedAt = new HashMap<>();
    private final Set<BackendServer.Lifetime> inFlight = new HashSet<>();
    private final Map<BackendServer.Lifetime, Long> refusedStageSequences = new HashMap<>();
    private volatile List<BackendServer> knownServers = List.of();
    private int nextReference;
    private long epochsIssued;
    private List<String> lastLoggedPlan = List.of();

    GroupKeeper(
            EnginePort engines,
            GatewaySettings settings,
            PlanPolicy policy,
            KeeperLease lease,
            BooleanSupplier partitioned,
            GatewayClock clock,
            EventLog log,
            GatewayMetrics metrics) {
        this.engines = engines;
        this.settings = settings;
        this.policy = policy;
        this.lease = lease;
        this.partitioned = partitioned;
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
        this.loadLimiter = new WeightLoadLimiter(
                settings.bounds().loadWindow(), settings.bounds().maxLoadFactor());
    }

    /**
     * The input of one keeper run.
     *
     * @param configuration the configuration in force
     * @param servers the backend servers
     * @param demand the slots required by the requests to all entries, by model
     * @param stagedElsewhere the models that engines are staging on orders of other keepers, by engine lifetime
     * @param share this entry's share of the weight loads, by its rank among the keepers
     * @param evacuated the evacuated availability zones, whose engines get no orders
     */
    record Inputs(
            FleetConfiguration configuration,
            Collection<BackendServer> servers,
            Map<String, Double> demand,
            Map<String, String> stagedElsewhere,
            WeightLoadLimiter.Share share,
            Set<AvailabilityZone> evacuated) {}

    /** Returns the models that engines are staging on this entry's orders, by engine lifetime. */
    synchronized Map<String, String> staging(Moment now) {
        Map<String, String> result = new HashMap<>();
        formation.staging(now).forEach((engine, model) -> result.put(engine.format(), model));
        return result;
    }

    /** Records that this entry runs as a keeper, so that time in which it did not is no evidence of silence of engines. */
    synchronized void observe(Moment now) {
        silentEngines.tick(now);
    }

    /** Decides on and sends the orders for all services with engines; does nothing if this entry has no valid term. */
    void tick(Inputs inputs, Moment now) {
        Optional<Long> term = lease.term(now);
        if (term.isEmpty()) {
            return;
        }
        knownServers = List.copyOf(inputs.servers());
        retain(inputs.servers());
        probeSilentEngines(inputs.servers(), now);
        probeLostEngines(inputs.servers(), now);
        for (FleetService s : inputs.configuration().services()) {
            if (s.engine().isPresent()) {
                decide(s, inputs, term.get(), now).forEach(a -> send(a, inputs.servers()));
            }
        }
    }

    /** Sets the servers that are cold, which are no heads of new groups if other members can be. */
    synchronized void coldServers(Set<BackendServer.Lifetime> servers) {
        formation.coldServers(servers);
    }

    private synchronized void retain(Collection<BackendServer> servers) {
        Set<BackendServer.Lifetime> listed = new HashSet<>();
        servers.forEach(s -> listed.add(s.lifetime()));
        sequences.retain(listed);
        refusedStageSequences.keySet().retainAll(listed);
        silentEngines.retain(listed);
        terminated.retainAll(listed);
    }

    private synchronized List<FormationAction> decide(FleetService service, Inputs inputs, long term, Moment now) {
        lostUntil.values().removeIf(until -> !now.isBefore(until));
        lostProbedAt.keySet().retainAll(lostUntil.keySet());
        EngineProfile profile = service.engine().orElseThrow();
        List<BackendServer> serviceEngines = EvacuatedEngines.remove(
                inputs.servers().stream()
                        .filter(s -> s.service().equals(service.name()))
                        .toList(),
                inputs.evacuated());
        ModelDemand demand = inputs.demand().isEmpty()
                ? ModelDemand.expected(profile, serviceEngines.size())
                : ModelDemand.of(inputs.demand());
        // A restarted entry knows no demand either, but the system has served requests before.
        boolean beforeRequests = settings.firstStart() && inputs.demand().isEmpty();
        int allowed = beforeRequests
                ? serviceEngines.size()
                : loadLimiter.allowed(profile.loadsPerSecond(), inputs.share(), maxGroupSize(profile), now);
        Formation.View view = new Formation.View(
                profile,
                serviceEngines,
                Set.copyOf(lostUntil.keySet()),
                d -> lease.holdsPartition(partition(d), now),
                demand,
                () -> term * EPOCHS_PER_TERM + ++epochsIssued,
                stagedElsewhere(serviceEngines, inputs.stagedElsewhere()),
                policy,
                allowed,
                beforeRequests);
        List<FormationAction> actions = formation.decide(view, now);
        if (!formation.summary().equals(lastLoggedPlan)) {
            lastLoggedPlan = formation.summary();
            log.write(
                    "plan",
                    "the plan has changed with the fleet or its demand",
                    "domains",
                    lastLoggedPlan,
                    "loads",
                    allowed);
        }
        if (!beforeRequests) {
            recordLoads(profile, actions, now);
        }
        return actions;
    }

    private static Map<BackendServer.Lifetime, String> stagedElsewhere(
            List<BackendServer> engines, Map<String, String> staging) {
        Map<BackendServer.Lifetime, String> result = new HashMap<>();
        for (BackendServer s : engines) {
            String model = staging.get(s.lifetime().format());
            if (model != null) {
                result.put(s.lifetime(), model);
            }
        }
        return result;
    }

    private void recordLoads(EngineProfile profile, List<FormationAction> actions, Moment now) {
        for (FormationAction a : actions) {
            if (a instanceof FormationAction.Stage) {
                loadLimiter.recordStarted(1, now);
            } else if (a instanceof FormationAction.Join j) {
                EngineModel m = profile.model(j.model()).orElseThrow();
                loadLimiter.recordStarted(new GroupPlanner.Plan(m, List.of(j.server()), m.loadTime()).loadCount(), now);
            }
        }
    }

    private static int maxGroupSize(EngineProfile profile) {
        return profile.models().stream().mapToInt(EngineModel::groupSize).max().orElse(1);
    }

    private int partition(FabricDomain domain) {
        return Math.floorMod(domain.value().hashCode(), settings.leasePartitions());
    }

    private void send(FormationAction action, Collection<BackendServer> servers) {
        Moment now = clock.now();
        Optional<FabricDomain> domain = action.server().domain();
        if (domain.isEmpty() || !lease.holdsPartition(partition(domain.get()), now)) {
            log.write("order", "order not sent: the lease has expired", "group", action.key());
            return;
        }
        EngineOrder order = toEngineOrder(action);
        BackendServer server = action.server();
        if (order instanceof EngineOrder.Leave) {
            engines.sendOrder(server, order, OptionalLong.empty(), ORDER_TIMEOUT)
                    .thenAccept(a -> orderAnswered(action, order, a, servers));
            return;
        }
        if (!markInFlight(action)) {
            return;
        }
        OptionalLong known = sequences.expected(server);
        if (known.isPresent()) {
            engines.sendOrder(server, order, known, ORDER_TIMEOUT).thenAccept(a -> {
                if (a == OrderAnswer.CONFLICT && order instanceof EngineOrder.Stage) {
                    recordRefusedStaging(server.lifetime(), known.getAsLong());
                }
                orderAnswered(action, order, a, servers);
            });
        } else {
            querySequence(action);
        }
    }

    /**
     * Marks an engine as having an order in flight. Returns whether the order may be sent: an engine refuses the second
     * of two concurrent orders, because both expect the same sequence number. The second one is decided again once the
     * first is answered.
     */
    private synchronized boolean markInFlight(FormationAction action) {
        if (inFlight.add(action.server().lifetime())) {
            return true;
        }
        formation.orderNotSent(action);
        return false;
    }

    /** Queries the order sequence number of an engine; the pending order is decided again on a later run. */
    private void querySequence(FormationAction action) {
        BackendServer.Lifetime server = action.server().lifetime();
        engines.probe(action.server(), SuspectGroupProber.PROBE_TIMEOUT).thenAccept(report -> {
            report.ifPresent(r -> sequences.sequenceReported(server, r.orderSequence()));
            synchronized (this) {
                inFlight.remove(server);
                if (report.isEmpty()) {
                    return;
                }
                formation.orderNotSent(action);
                Long refused = refusedStageSequences.remove(server);
                boolean sameSequence =
                        refused != null && refused == report.get().orderSequence();
                if (action instanceof FormationAction.Stage && (report.get().busy() || sameSequence)) {
                    formation.busyWithUnknownOrder(server, clock.now());
                }
            }
        });
    }

    /**
     * Records the sequence number at which an engine refused to stage. If it still reports that number, its host is
     * busy with another load.
     */
    private synchronized void recordRefusedStaging(BackendServer.Lifetime server, long sequence) {
        refusedStageSequences.put(server, sequence);
    }

    private static EngineOrder toEngineOrder(FormationAction action) {
        if (action instanceof FormationAction.Join j) {
            return new EngineOrder.Join(
                    j.key(),
                    j.model(),
                    j.members().stream().map(BackendServer::id).toList());
        } else if (action instanceof FormationAction.Open o) {
            return new EngineOrder.Open(o.key());
        } else if (action instanceof FormationAction.Close c) {
            return new EngineOrder.Close(c.key());
        } else if (action instanceof FormationAction.Stage s) {
            return new EngineOrder.Stage(s.model());
        }
        return new EngineOrder.Leave(action.key());
    }

    private void orderAnswered(
            FormationAction action, EngineOrder order, OrderAnswer answer, Collection<BackendServer> servers) {
        Moment now = clock.now();
        String kind = order.getClass().getSimpleName();
        metrics.ordered(kind, answer.name());
        log.write(
                "order",
                action.reason(),
                "kind",
                kind,
                "group",
                action.key(),
                "server",
                action.server().id(),
                "answer",
                answer);
        boolean completedAtOnce = action instanceof FormationAction.Leave
                && action.server().group().isPresent();
        sequences.orderAnswered(action.server().lifetime(), answer, completedAtOnce);
        if (answer == OrderAnswer.OTHER_INSTANCE
                && (order instanceof EngineOrder.Join || order instanceof EngineOrder.Stage)) {
            markLost(action.server(), Liveness.ENDED, "another instance answers at the address of the engine");
        }
        boolean unresponsive = answer == OrderAnswer.UNKNOWN || answer == OrderAnswer.UNREACHABLE;
        boolean listed = servers.stream()
                .anyMatch(s -> s.lifetime().equals(action.server().lifetime()));
        // While this entry is partitioned, no engine is reachable, whether or not it runs.
        boolean unreachable = answer == OrderAnswer.UNREACHABLE && !partitioned.getAsBoolean();
        synchronized (this) {
            if (!(action instanceof FormationAction.Leave)) {
                inFlight.remove(action.server().lifetime());
            }
            if (answer == OrderAnswer.CONFLICT) {
                formation.orderRefused(action, now);
            }
            // A head that has terminated cannot leave; its members need not wait until the list drops it.
            boolean gone = !listed || terminated.contains(action.server().lifetime());
            if (action instanceof FormationAction.Leave && (!unresponsive || (unreachable && gone))) {
                formation.headLeft(action.key(), now);
            } else if (action instanceof FormationAction.Leave leave && unreachable) {
                formation.leaveNotDelivered(leave, now);
            }
            if (action instanceof FormationAction.Join
                    && (answer == OrderAnswer.STALE || answer == OrderAnswer.OTHER_INSTANCE)) {
                formation.joinRefused(action.key());
            }
        }
        if (unreachable) {
            reportSuspects(settings.instance(), List.of(action.server()));
        }
    }

    /**
     * Handles a report of engines that do not respond to an entry. An engine counts as lost if it has ended, or if it
     * does not answer the probes of this entry for a while either, unless the report is withdrawn meanwhile or this entry
     * is partitioned from the backend servers.
     */
    void reportSuspects(InstanceId by, Collection<BackendServer> suspects) {
        if (partitioned.getAsBoolean()) {
            return;
        }
        Moment now = clock.now();
        for (BackendServer s : suspects) {
            if (s.domain().isEmpty()
                    || !lease.holdsPartition(partition(s.domain().get()), now)
                    || isMarkedLost(s)) {
                continue;
            }
            if (recordReport(s, by, now)) {
                probeReferences(s, now);
                engines.probe(s, SuspectGroupProber.PROBE_TIMEOUT)
                        .thenAccept(report -> suspectProbedFirst(s, now, liveness(report)));
            }
        }
    }

    /** Records a report; returns whether the engine is to be probed. Silence counts only while it is reported. */
    private synchronized boolean recordReport(BackendServer server, InstanceId by, Moment now) {
        if (!isSuspected(server)) {
            silentEngines.remove(server.lifetime());
        }
        suspicionReports.report(server.lifetime(), by, now);
        return silentEngines.begin(server.lifetime(), now);
    }

    private static Liveness liveness(Optional<EngineReport> report) {
        return report.isPresent() ? Liveness.RUNNING : Liveness.SILENT;
    }

    private void suspectProbedFirst(BackendServer server, Moment sentAt, Liveness liveness) {
        if (liveness == Liveness.RUNNING || !isSuspected(server)) {
            suspectProbed(server, sentAt, liveness);
            return;
        }
        engines.probeLiveness(server, HEALTH_PATH, SuspectGroupProber.PROBE_TIMEOUT)
                .thenAccept(result -> suspectProbed(server, sentAt, result));
    }

    private void probeSilentEngines(Collection<BackendServer> servers, Moment now) {
        for (BackendServer s : servers) {
            if (repeatProbe(s, now)) {
                probeReferences(s, now);
                engines.probe(s, SuspectGroupProber.PROBE_TIMEOUT)
                        .thenAccept(report -> suspectProbed(s, now, liveness(report)));
            }
        }
    }

    private synchronized boolean repeatProbe(BackendServer server, Moment now) {
        if (!silentEngines.repeat(server.lifetime(), now)) {
            return false;
        }
        boolean suspected = isSuspected(server);
        if (!suspected) {
            dropSuspicion(server);
        }
        return suspected;
    }

    private synchronized void suspectProbed(BackendServer server, Moment sentAt, Liveness liveness) {
        SilentEngines.Verdict verdict = silentEngines.probed(server, sentAt, liveness, clock.now());
        if (verdict == SilentEngines.Verdict.RESPONSIVE) {
            log.write("suspect", "the engine responds to this keeper", "server", server.id());
        } else if (verdict == SilentEngines.Verdict.OBSOLETE) {
            log.write("suspect", "the probe shows nothing, because the suspicion was dropped", "server", server.id());
        } else if (!isSuspected(server)) {
            dropSuspicion(server);
        } else if (verdict == SilentEngines.Verdict.SILENT) {
            suspicionReports.renew(server.lifetime(), clock.now());
            log.write("suspect", "the engine is silent and will be probed again", "server", server.id());
        } else {
            markLost(server, liveness, "the engine responds neither to requests nor to probes");
        }
    }

    /** Probes engines other than a suspect, whose answers show that the suspect's silence is its own. */
    private void probeReferences(BackendServer suspect, Moment now) {
        for (BackendServer r : references(suspect)) {
            engines.probe(r, SuspectGroupProber.PROBE_TIMEOUT).thenAccept(report -> {
                if (report.isPresent()) {
                    referenceAnswered(r, now);
                }
            });
        }
    }

    private synchronized void referenceAnswered(BackendServer reference, Moment sentAt) {
        silentEngines.referenceAnswered(reference, sentAt, clock.now());
    }

    /** Returns some engines of the suspect's domain and one each of some other domains, in turn. */
    private synchronized List<BackendServer> references(BackendServer suspect) {
        List<BackendServer> all = knownServers;
        List<BackendServer> same = new ArrayList<>();
        Map<String, BackendServer> others = new HashMap<>();
        for (int i = 0; i < all.size(); i++) {
            BackendServer s = all.get(Math.floorMod(nextReference + i, all.size()));
            boolean sound = s.ready() && s.domain().isPresent() && !lostUntil.containsKey(s.lifetime());
            if (!sound || suspicionReports.isSuspected(s.lifetime(), clock.now())) {
                continue;
            }
            if (!s.failureDomain().equals(suspect.failureDomain()) && others.size() < MAX_REFERENCES) {
                others.putIfAbsent(s.failureDomain(), s);
            } else if (s.failureDomain().equals(suspect.failureDomain()) && same.size() < MAX_REFERENCES) {
                same.add(s);
            }
        }
        nextReference += 1 + MAX_REFERENCES;
        same.addAll(others.values());
        return same;
    }

    private void probeLostEngines(Collection<BackendServer> servers, Moment now) {
        for (BackendServer s : servers) {
            if (beginLostProbe(s.lifetime(), now)) {
                engines.probeLiveness(s, HEALTH_PATH, SuspectGroupProber.PROBE_TIMEOUT)
                        .thenAccept(liveness -> lostEngineProbed(s, liveness));
            }
        }
    }

    private synchronized boolean beginLostProbe(BackendServer.Lifetime engine, Moment now) {
        Moment last = lostProbedAt.get(engine);
        if (last == null || now.isBefore(last.plus(LOST_PROBE_INTERVAL))) {
            return false;
        }
        lostProbedAt.put(engine, now);
        return true;
    }

    private synchronized void lostEngineProbed(BackendServer server, Liveness liveness) {
        if (liveness == Liveness.RUNNING && lostUntil.remove(server.lifetime()) != null) {
            lostProbedAt.remove(server.lifetime());
            log.write("suspect", "the engine that counted as lost responds again", "server", server.id());
        }
    }

    private void dropSuspicion(BackendServer server) {
        silentEngines.remove(server.lifetime());
        log.write("suspect", "the report was withdrawn or this entry is partitioned", "server", server.id());
    }

    private boolean isSuspected(BackendServer server) {
        return !partitioned.getAsBoolean() && suspicionReports.isSuspected(server.lifetime(), clock.now());
    }

    /** Withdraws the reports of an entry that is partitioned from the backend servers. */
    void withdrawReports(InstanceId by) {
        suspicionReports.withdraw(by);
    }

    /** Discards what this entry believes about the responsiveness of engines, because it is partitioned from them. */
    synchronized void discardSuspicions() {
        suspicionReports.withdrawAll();
        silentEngines.clear();
        lostUntil.clear();
        lostProbedAt.clear();
        terminated.clear();
    }

    private synchronized boolean isMarkedLost(BackendServer server) {
        return lostUntil.containsKey(server.lifetime());
    }

    private synchronized void markLost(BackendServer server, Liveness liveness, String reason) {
        Moment now = clock.now();
        lostUntil.put(server.lifetime(), now.plus(LOST_DURATION));
        if (liveness == Liveness.ENDED) {
            terminated.add(server.lifetime());
        } else {
            lostProbedAt.put(server.lifetime(), now);
        }
        log.write("lost", reason, "server", server.id(), "liveness", liveness);
    }
}
