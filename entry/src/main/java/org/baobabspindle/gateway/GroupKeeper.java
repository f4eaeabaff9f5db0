package org.baobabspindle.gateway;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.EngineModel;
import org.baobabspindle.core.fleet.EngineProfile;
import org.baobabspindle.core.fleet.FleetConfiguration;
import org.baobabspindle.core.fleet.FleetService;
import org.baobabspindle.core.fleet.PlanPolicy;
import org.baobabspindle.core.formation.Formation;
import org.baobabspindle.core.formation.FormationAction;
import org.baobabspindle.core.formation.GroupPlanner;
import org.baobabspindle.core.formation.ModelDemand;
import org.baobabspindle.core.formation.SuspicionReports;
import org.baobabspindle.core.formation.WeightLoadLimiter;
import org.baobabspindle.core.id.FabricDomain;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.logging.EventLog;
import org.baobabspindle.port.EngineOrder;
import org.baobabspindle.port.EnginePort;
import org.baobabspindle.port.GatewaySettings;
import org.baobabspindle.port.OrderAnswer;

/** Keeps the groups of the fabric domains whose partitions this entry holds. */
final class GroupKeeper {
    /** The wait for the answer of an order; a hundred times a calm one, short enough to repeat it soon. */
    private static final Duration ORDER_TIMEOUT = Duration.ofMillis(500);

    /** How long an engine that did not answer counts as lost; by then the list shows it gone or it is asked again. */
    private static final Duration LOST_DURATION = Duration.ofSeconds(4);

    /** The epochs of one term; a keeper holds a term for hours at most. */
    private static final long EPOCHS_PER_TERM = 100_000;

    private final EnginePort engines;
    private final GatewaySettings settings;
    private final PlanPolicy policy;
    private final KeeperLease lease;
    private final GatewayClock clock;
    private final EventLog log;
    private final GatewayMetrics metrics;
    private final Formation formation = new Formation();
    private final OrderSequences sequences = new OrderSequences();
    private final SuspicionReports suspicionReports = new SuspicionReports();
    private final WeightLoadLimiter loadLimiter;
    private final Map<BackendServer.Lifetime, Moment> lost = new HashMap<>();
    private final Set<BackendServer.Lifetime> inFlight = new HashSet<>();
    private final Map<BackendServer.Lifetime, Long> refusedStageSequences = new HashMap<>();
    private long epochsIssued;
    private List<String> loggedPlan = List.of();

    GroupKeeper(
            EnginePort engines,
            GatewaySettings settings,
            PlanPolicy policy,
            KeeperLease lease,
            GatewayClock clock,
            EventLog log,
            GatewayMetrics metrics) {
        this.engines = engines;
        this.settings = settings;
        this.policy = policy;
        this.lease = lease;
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
        this.loadLimiter = new WeightLoadLimiter(
                settings.bounds().loadWindow(), settings.bounds().maxLoadFactor());
    }

    /**
     * What the keeper is told at each tick.
     *
     * @param configuration the configuration in force
     * @param servers the backend servers
     * @param demand the slots that requests to all entries would fill, by model
     * @param stagedElsewhere the models that engines stage on orders of other keepers, by engine and start
     * @param share this entry's place among the keepers
     */
    record Inputs(
            FleetConfiguration configuration,
            Collection<BackendServer> servers,
            Map<String, Double> demand,
            Map<String, String> stagedElsewhere,
            WeightLoadLimiter.Share share) {}

    /** Returns the models that engines stage on this entry's orders, by engine and start. */
    synchronized Map<String, String> staging(Moment now) {
        Map<String, String> result = new HashMap<>();
        formation.staging(now).forEach((engine, model) -> result.put(engine.format(), model));
        return result;
    }

    /** Decides and sends orders for all services with engines. */
    void tick(Inputs inputs, Moment now) {
        Optional<Long> term = lease.term(now);
        if (term.isEmpty()) {
            return;
        }
        retain(inputs.servers());
        for (FleetService s : inputs.configuration().services()) {
            if (s.engine().isPresent()) {
                decide(s, inputs, term.get(), now).forEach(a -> send(a, inputs.servers()));
            }
        }
    }

    private synchronized void retain(Collection<BackendServer> servers) {
        Set<BackendServer.Lifetime> listed = new HashSet<>();
        servers.forEach(s -> listed.add(s.lifetime()));
        sequences.retain(listed);
        refusedStageSequences.keySet().retainAll(listed);
    }

    private synchronized List<FormationAction> decide(FleetService service, Inputs in, long term, Moment now) {
        lost.values().removeIf(until -> !now.isBefore(until));
        EngineProfile profile = service.engine().orElseThrow();
        List<BackendServer> own = in.servers().stream()
                .filter(s -> s.service().equals(service.name()))
                .toList();
        ModelDemand demand =
                in.demand().isEmpty() ? ModelDemand.expected(profile, own.size()) : ModelDemand.of(in.demand());
        // An entry that starts again knows no demand either, but others have served requests before.
        boolean beforeRequests = settings.firstStart() && in.demand().isEmpty();
        int allowed = beforeRequests
                ? own.size()
                : loadLimiter.allowed(profile.loadsPerSecond(), in.share(), maxGroupSize(profile), now);
        Formation.View view = new Formation.View(
                profile,
                own,
                Set.copyOf(lost.keySet()),
                d -> lease.holdsPartition(partition(d), now),
                demand,
                () -> term * EPOCHS_PER_TERM + ++epochsIssued,
                stagedElsewhere(own, in.stagedElsewhere()),
                policy,
                allowed,
                beforeRequests);
        List<FormationAction> actions = formation.decide(view, now);
        if (!formation.summary().equals(loggedPlan)) {
            loggedPlan = formation.summary();
            log.write("plan", "the fleet or its demand has changed", "domains", loggedPlan, "loads", allowed);
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
            log.write("order", "not sent, the lease has ended", "group", action.key());
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
     * Returns whether an order may be sent. Of two orders at a time an engine refuses the second one, because both state the
     * same number; the second one is decided again once the first is answered.
     */
    private synchronized boolean markInFlight(FormationAction action) {
        if (inFlight.add(action.server().lifetime())) {
            return true;
        }
        formation.orderNotSent(action);
        return false;
    }

    /** Asks an engine how many orders it has begun; what was to be ordered is decided again soon. */
    private void querySequence(FormationAction action) {
        BackendServer.Lifetime server = action.server().lifetime();
        engines.probe(action.server(), SuspectGroupProber.PROBE_TIMEOUT).thenAccept(r -> {
            r.ifPresent(x -> sequences.sequenceReported(server, x.orderSequence()));
            synchronized (this) {
                inFlight.remove(server);
                if (r.isEmpty()) {
                    return;
                }
                formation.orderNotSent(action);
                Long refused = refusedStageSequences.remove(server);
                boolean sameSequence = refused != null && refused == r.get().orderSequence();
                if (action instanceof FormationAction.Stage && (r.get().busy() || sameSequence)) {
                    formation.busyWithUnknownOrder(server, clock.now());
                }
            }
        });
    }

    /** Notes the number at which an engine refused to stage: if it still reports that one, its host is at another load. */
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
        boolean doneAtOnce = action instanceof FormationAction.Leave
                && action.server().group().isPresent();
        sequences.orderAnswered(action.server().lifetime(), answer, doneAtOnce);
        boolean silent = answer == OrderAnswer.UNKNOWN || answer == OrderAnswer.UNREACHABLE;
        boolean listed = servers.stream()
                .anyMatch(s -> s.lifetime().equals(action.server().lifetime()));
        synchronized (this) {
            if (!(action instanceof FormationAction.Leave)) {
                inFlight.remove(action.server().lifetime());
            }
            if (answer == OrderAnswer.CONFLICT) {
                formation.orderRefused(action, now);
            }
            boolean unreachable = answer == OrderAnswer.UNREACHABLE && !listed;
            if (action instanceof FormationAction.Leave && (!silent || unreachable)) {
                formation.headLeft(action.key(), now);
            }
            if (action instanceof FormationAction.Join
                    && (answer == OrderAnswer.STALE || answer == OrderAnswer.OTHER_INSTANCE)) {
                formation.joinRefused(action.key());
            }
            if (answer == OrderAnswer.UNREACHABLE) {
                lost.put(action.server().lifetime(), now.plus(LOST_DURATION));
            }
        }
    }

    /** Takes over that engines do not answer an entry, once they do not answer a second one or this one either. */
    void reportSuspects(InstanceId by, Collection<BackendServer> suspects) {
        Moment now = clock.now();
        for (BackendServer s : suspects) {
            if (s.domain().isEmpty()
                    || !lease.holdsPartition(partition(s.domain().get()), now)
                    || isMarkedLost(s)) {
                continue;
            }
            if (suspicionReports.report(s.lifetime(), by, now)) {
                lost(s);
                continue;
            }
            engines.probe(s, SuspectGroupProber.PROBE_TIMEOUT).thenAccept(answers -> {
                if (answers.isEmpty()) {
                    lost(s);
                }
            });
        }
    }

    private synchronized boolean isMarkedLost(BackendServer server) {
        return lost.containsKey(server.lifetime());
    }

    private synchronized void lost(BackendServer server) {
        Moment now = clock.now();
        lost.put(server.lifetime(), now.plus(LOST_DURATION));
        log.write("lost", "an engine answers neither requests nor probes", "server", server.id());
    }
}
