package org.baobabspindle.gateway;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.baobabspindle.core.dispatch.Reachability;
import org.baobabspindle.core.dispatch.TargetChooser;
import org.baobabspindle.core.fleet.EntryCapacity;
import org.baobabspindle.core.fleet.FleetConfiguration;
import org.baobabspindle.core.fleet.PlanPolicy;
import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.logging.EventLog;
import org.baobabspindle.peer.PeerSecret;
import org.baobabspindle.peer.PeerServer;
import org.baobabspindle.peer.PeerTraffic;
import org.baobabspindle.port.EnginePort;
import org.baobabspindle.port.Feed;
import org.baobabspindle.port.FeedPage;
import org.baobabspindle.port.FeedPosition;
import org.baobabspindle.port.ForwardingHeaders;
import org.baobabspindle.port.GatewaySettings;
import org.baobabspindle.port.Platform;
import org.baobabspindle.settings.SettingsException;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * Runs an entry on the platform of a user: wires its components together, schedules periodic tasks, starts and stops.
 */
public final class GatewayNode {
    /** Threads for callers, backend servers and the store; none of them blocks. */
    private static final int MAX_THREADS = 17;

    /** Threads for messages between entries. */
    private static final int PEER_WORKERS = 4;

    /** How often timeouts and the connections of callers are checked. */
    private static final Duration TICK_INTERVAL = Duration.ofMillis(50);

    /** How often the keeper runs when nothing has changed. */
    private static final Duration KEEPER_INTERVAL = Duration.ofMillis(100);

    /** How often the speeds of groups are compared; even a slow group sends several events in this time. */
    private static final Duration SLOW_TARGET_CHECK_INTERVAL = Duration.ofMillis(250);

    /**
     * How long the keeper waits for further changes before it runs; lists change many times a second in a large fleet.
     */
    private static final Duration KEEPER_DEBOUNCE = Duration.ofMillis(15);

    /** The interval of lease renewals; three of them fit into the shortest lease. */
    private static final Duration LEASE_RENEWAL_INTERVAL = Duration.ofMillis(350);

    /** The interval of the census of engines in the log. */
    private static final Duration CENSUS_INTERVAL = Duration.ofSeconds(2);

    /** How often this entry measures what it uses. */
    private static final Duration HEADROOM_INTERVAL = Duration.ofSeconds(1);

    /** How long a stopping entry stays up after its last request, so that callers have noticed that it is leaving. */
    private static final Duration IDLE_BEFORE_EXIT = Duration.ofSeconds(1);

    /** Subtracted from the grace period, so that the process exits before it is killed. */
    private static final Duration GRACE_PERIOD_MARGIN = Duration.ofMillis(400);

    /** How long a stopping entry waits for its last responses to be written; part of the margin. */
    private static final Duration LAST_WRITE_TIMEOUT = Duration.ofMillis(200);

    private static final Duration ANNOUNCEMENT_RETRY_DELAY = Duration.ofMillis(300);

    private static final Duration STOP_CHECK_INTERVAL = Duration.ofMillis(50);

    private final GatewayClock clock = new GatewayClock();
    private final EventLog log = new EventLog();
    private final GatewayMetrics metrics = new GatewayMetrics();
    private final PeerTraffic traffic = new PeerTraffic();
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2, r -> daemonThread(r, "timer"));
    private final PeriodicTasks tasks = new PeriodicTasks(timer);
    private final ThreadPoolExecutor peerWorkers =
            (ThreadPoolExecutor) Executors.newFixedThreadPool(PEER_WORKERS, r -> daemonThread(r, "peer-worker"));
    private final EntryRelay.Surroundings surroundings;
    private final GatewaySettings settings;
    private final QueuedThreadPool threads;
    private final HttpClient client;
    private final HttpClient singleUseClient;
    private final RelayedStore store;
    private final OwnHeadroom headroom;
    private final StoreReading reading = new StoreReading(clock);
    private final FleetTable fleet;
    private final ReachabilityMonitor reachability = new ReachabilityMonitor(clock, log);
    private final ReachabilityProber reachabilityProber;
    private final ShutdownState shutdown;
    private final EntryAnnouncement self;
    private final ContentExchange contents;
    private final PeerMesh mesh;
    private final GatewayContext context;
    private final EvacuationMonitor evacuations;
    private final ServerEvents serverEvents;
    private final KeeperLease lease;
    private final GroupKeeper keeper;
    private final SuspectGroupProber suspectProber;
    private final CrashGuard crashGuard;
    private final GatewayGossip gossip;
    private final GatewayServer server;
    private final GatewayHandler handler;
    private PeerServer peerServer;
    private final AtomicBoolean keeperRunScheduled = new AtomicBoolean();
    private final KeeperCandidacy candidacy = new KeeperCandidacy(clock.now());
    private volatile Optional<Moment> announcedAt = Optional.empty();

    /** Whether this entry was partitioned from the backend servers at the last check. */
    private boolean wasPartitioned;

    private GatewayNode(
            Platform platform,
            PlanPolicy policy,
            UnaryOperator<EntryRelay.Surroundings> adaptation,
            BodyBudget bodyBudget)
            throws Exception {
        settings = platform.settings();
        threads = new QueuedThreadPool(MAX_THREADS, 4);
        threads.setName("gateway");
        threads.setDaemon(true);
        client = GatewayServer.startClient(threads);
        singleUseClient = GatewayServer.startSingleUseClient(threads);
        headroom = new OwnHeadroom(settings.capacity(), new ProcessUsage());
        store = createStore(platform);
        fleet = FleetTable.of(platform, log);
        VersionMetrics.register(fleet, clock, metrics);
        shutdown = new ShutdownState(settings.bounds().gracePeriod());
        self = createAnnouncement();
        contents = new ContentExchange(fleet::configurationRecord);
        mesh = new PeerMesh(self, this::isPartitioned, peerWorkers, traffic, contents, log);
        surroundings = adaptation.apply(new EntryRelay.Surroundings(reachability, mesh));
        SplittableRandom random =
                new SplittableRandom(System.nanoTime() ^ self.entry().hashCode());
        Dispatcher dispatcher = new Dispatcher(
                self.entry().instance(),
                fleet,
                new TargetChooser(settings.zone(), random.split()),
                mesh::entryCount,
                this::isPartitioned,
                settings.bounds(),
                threads);
        serverEvents =
                new ServerEvents(fleet, dispatcher, this::fleetChanged, this::coldServerFound, clock, log, metrics);
        ServerNotices notices = new ServerNotices(clock, log, serverEvents);
        EnginePort engines = observedEngines(platform, notices);
        reachabilityProber = new ReachabilityProber(
                reachability,
                fleet,
                platform.engines(singleUseClient, notices::probeResponseReceived),
                this::reachabilityChanged);
        crashGuard = new CrashGuard(fleet, engines, clock, log, metrics, new SynchronizedRandom(random.split()));
        context = createContext(dispatcher, notices, platform.headers(), random.split(), bodyBudget);
        evacuations = new EvacuationMonitor(context, mesh, metrics);
        lease = createLease();
        reading.attach(StoreReading.stateOf(mesh, fleet, lease, store));
        keeper = new GroupKeeper(engines, settings, policy, lease, this::isPartitioned, clock, log, metrics);
        gossip = createGossip(notices);
        context.relay().setVersionListener(gossip::versionShown);
        suspectProber = new SuspectGroupProber(context, engines, gossip::broadcastSuspects, log);
        gossip.setSuspicionListener(suspectProber::receiveSuspects);
        crashGuard.peers(gossip);
        server = new GatewayServer(settings, threads);
        handler = new GatewayHandler(
                context, settings.listeners(), platform.directory(), this::addresses, this::isReady, metrics);
    }

    private GatewayContext createContext(
            Dispatcher dispatcher,
            ServerNotices notices,
            ForwardingHeaders headers,
            SplittableRandom random,
            BodyBudget bodyBudget) {
        return new GatewayContext(
                clock,
                fleet,
                dispatcher,
                client,
                notices,
                reachability,
                crashGuard,
                new EntryRelay(surroundings, new PeerSecret(self.secret())),
                headers,
                shutdown,
                log,
                metrics,
                new SynchronizedRandom(random),
                mesh::entryCount,
                mesh::dispatchingEntryCount,
                settings.bounds(),
                bodyBudget);
    }

    private GatewayGossip createGossip(ServerNotices notices) {
        return new GatewayGossip(
                self,
                context,
                mesh,
                contents,
                keeper,
                this::isReady,
                this::fleetChanged,
                notices,
                store::serve,
                reading::storeAgeMillis,
                headroom::value,
                reading::isFollower,
                this::isPartitioned);
    }

    private KeeperLease createLease() {
        Duration timeToLive =
                Duration.ofMillis(Math.max(settings.minLeaseDuration().toMillis(), 1_300));
        return new KeeperLease(store, self.entry().toString(), timeToLive, clock, log);
    }

    private RelayedStore createStore(Platform platform) {
        return new RelayedStore(
                platform.store(client),
                reading,
                this::readFromPeer,
                clock,
                new SynchronizedRandom(new SplittableRandom()),
                metrics::storeCalled,
                platform.decoder());
    }

    private EnginePort observedEngines(Platform platform, ServerNotices notices) {
        return new ObservedEnginePort(
                platform.engines(singleUseClient, notices::probeResponseReceived), reachability, clock);
    }

    /** Informs all entries soon, together with further servers that are found to be cold at about the same time. */
    private void coldServerFound() {
        tasks.runOnceAfter(ServerEvents.COLD_EXCHANGE_DELAY, gossip::exchangeStateWithAll);
    }

    private void reachabilityChanged(Reachability state) {
        if (state == Reachability.PARTITIONED) {
            crashGuard.partitionBegan();
        } else {
            crashGuard.partitionEnded();
            context.dispatcher().partitionEnded(clock.now());
        }
    }

    private static Thread daemonThread(Runnable r, String name) {
        Thread t = new Thread(r, name);
        t.setDaemon(true);
        return t;
    }

    private EntryAnnouncement createAnnouncement() {
        byte[] secret = new byte[16];
        new SecureRandom().nextBytes(secret);
        return new EntryAnnouncement(
                        new Incarnation(settings.instance(), System.currentTimeMillis()),
                        settings.host(),
                        settings.listeners().callers(),
                        settings.listeners().peers(),
                        settings.zone(),
                        HexFormat.of().formatHex(secret))
                .withCapacity(settings.capacity().map(EntryCapacity::weight).orElse(null));
    }

    /**
     * Runs an entry until the process is terminated.
     *
     * @param platform the platform to run on
     * @param policy the policy for planning groups
     * @throws Exception if the entry cannot start
     */
    public static void run(Platform platform, PlanPolicy policy) throws Exception {
        GatewayNode node = new GatewayNode(platform, policy, UnaryOperator.identity(), BodyBudget.ofHeap());
        Runtime.getRuntime().addShutdownHook(new Thread(node::stop, "stop"));
        HangupSignal.handle(() -> node.reload(platform));
        node.start();
        Thread.currentThread().join();
    }

    /** Starts an entry that runs until {@link #shutDown()}. */
    static GatewayNode open(Platform platform) throws Exception {
        return open(platform, UnaryOperator.identity());
    }

    /** Starts an entry whose link to backend servers or other entries may be simulated. */
    static GatewayNode open(Platform platform, UnaryOperator<EntryRelay.Surroundings> adaptation) throws Exception {
        return open(platform, adaptation, BodyBudget.ofHeap());
    }

    /** Starts an entry with a budget for the bodies of requests and responses. */
    static GatewayNode open(Platform platform, UnaryOperator<EntryRelay.Surroundings> adaptation, BodyBudget bodyBudget)
            throws Exception {
        GatewayNode node = new GatewayNode(platform, PlanPolicy.EVEN, adaptation, bodyBudget);
        node.start();
        return node;
    }

    /** Returns what the requests of this entry share, for tests of their parts. */
    GatewayContext context() {
        return context;
    }

    void shutDown() throws Exception {
        timer.shutdownNow();
        server.stop();
        singleUseClient.stop();
        client.stop();
        peerServer.close();
        mesh.close();
        peerWorkers.shutdownNow();
        threads.stop();
    }

    /**
     * Starts an entry, sends GET requests to it, logs the status codes and returns; the caller terminates the process.
     *
     * @param platform the platform; its store may be unavailable
     * @param urls the URLs to request
     * @throws Exception if the entry cannot start or a request gets no response
     */
    public static void rehearse(Platform platform, List<String> urls) throws Exception {
        GatewayNode node = new GatewayNode(platform, PlanPolicy.EVEN, UnaryOperator.identity(), BodyBudget.ofHeap());
        node.start();
        for (String url : urls) {
            int status = node.client.GET(url).getStatus();
            node.log.write("rehearsal", "a question was answered", "url", url, "status", status);
        }
    }

    /** Rereads and validates the settings; changes take effect at the next start. */
    private void reload(Platform platform) {
        try {
            boolean unchanged = platform.reload().equals(settings);
            log.write(
                    "reload",
                    unchanged ? "the settings have not changed" : "changed settings take effect at the next start");
        } catch (SettingsException e) {
            log.write("reload", "ignoring invalid settings: " + e.getMessage());
        }
    }

    /** Starts to accept requests; the signals that stop the process must be handled by then. */
    private void start() throws Exception {
        server.start(handler);
        log.write(
                "start",
                "listening",
                "entry",
                self.entry(),
                "address",
                self.callerAddress(),
                "zone",
                self.zone(),
                "firstStart",
                settings.firstStart());
        peerServer = PeerServer.start(
                self.host(), self.peerPort(), new PeerSecret(self.secret()), peerWorkers, gossip::respond, traffic);
        startPoller(
                Feed.CONFIGURATION,
                () -> evacuations.readIntervals(reading.intervals(Feed.CONFIGURATION)),
                (page, snapshot, requestedAt) -> {
                    Moment provenAt = store.provenAt(Feed.CONFIGURATION).orElse(requestedAt);
                    evacuations.pageRead(page, snapshot, provenAt);
                    fleet.configurationRead(page.records(), snapshot, provenAt, clock.now());
                    fleetChanged();
                });
        startPoller(
                Feed.BACKEND_SERVERS, () -> reading.intervals(Feed.BACKEND_SERVERS), (page, snapshot, requestedAt) -> {
                    fleet.serversRead(page, snapshot, clock.now());
                    crashGuard.serversListed();
                    fleetChanged();
                });
        startPoller(Feed.ENTRIES, () -> reading.intervals(Feed.ENTRIES), (page, snapshot, requestedAt) -> {
            mesh.announcementsRead(page.records());
            Moment provenAt = store.provenAt(Feed.ENTRIES).orElse(requestedAt);
            context.dispatcher().announcementsRead(self.changes(page, snapshot), provenAt, clock.now());
            boolean shown = announcedAt.filter(at -> !requestedAt.isBefore(at)).isPresent();
            if (snapshot && shown && !self.changes(page, true).ownAnnounced()) {
                log.write("start", "the announcement of this entry is lost");
                announce();
            }
        });
        announce();
        tasks.runEvery(TICK_INTERVAL, this::checkRequests);
        tasks.runEvery(TICK_INTERVAL, () -> serverEvents.logColdServers());
        tasks.runEvery(TICK_INTERVAL, () -> reachabilityProber.tick(clock.now()));
        tasks.runEvery(TICK_INTERVAL, () -> suspectProber.tick(clock.now()));
        tasks.runEvery(TICK_INTERVAL, () -> crashGuard.tick(clock.now()));
        tasks.runEvery(TICK_INTERVAL, this::checkPartition);
        tasks.runEvery(KEEPER_INTERVAL, this::runKeeper);
        tasks.runEvery(SLOW_TARGET_CHECK_INTERVAL, this::logSlowTargets);
        tasks.runEvery(LEASE_RENEWAL_INTERVAL, this::renewLease);
        tasks.runEvery(FleetScaling.EXCHANGE_INTERVAL, gossip::exchangeState);
        tasks.runEvery(CENSUS_INTERVAL, this::logCensus);
        tasks.runEvery(HEADROOM_INTERVAL, () -> headroom.sample(clock.now()));
    }

    private CompletableFuture<Optional<RelayedPage>> readFromPeer(Feed feed, FeedPosition from, ReadLevel level) {
        return mesh.readFeed(feed, from, level, clock);
    }

    private interface PageSink {
        void read(FeedPage page, boolean snapshot, Moment requestedAt);
    }

    private void startPoller(Feed feed, Supplier<FeedPoller.PollIntervals> intervals, PageSink sink) {
        FeedPoller.Sink pollerSink = new FeedPoller.Sink() {
            @Override
            public void pageRead(FeedPage page, boolean snapshot, Moment requestedAt) {
                sink.read(page, snapshot, requestedAt);
            }

            @Override
            public void storeRecovered() {
                // Feeds may recover seconds apart; the grace period of delisted servers counts from the recovery of
                // their own feed.
                if (feed == Feed.BACKEND_SERVERS) {
                    fleet.storeRecovered(clock.now());
                }
            }
        };
        new FeedPoller(store, feed, intervals, pollerSink, clock, timer, log).start();
    }

    private void announce() {
        store.announce(self.entry().instance().value(), self.toJson()).whenComplete((done, failure) -> {
            if (failure == null) {
                announcedAt = Optional.of(clock.now());
                log.write("start", "entry announced in the store");
            } else {
                tasks.runOnceAfter(ANNOUNCEMENT_RETRY_DELAY, this::announce);
            }
        });
    }

    private void fleetChanged() {
        context.dispatcher().drain(clock.now());
        if (keeperRunScheduled.compareAndSet(false, true)) {
            tasks.runOnceAfter(KEEPER_DEBOUNCE, () -> {
                keeperRunScheduled.set(false);
                runKeeper();
            });
        }
    }

    private void runKeeper() {
        Moment now = clock.now();
        fleet.applyDueServerChanges(now);
        Optional<FleetConfiguration> configuration = fleet.configuration();
        if (configuration.isEmpty()
                || shutdown.inProgress()
                || isPartitioned()
                || reading.isHandoverPending()
                || lease.term(now).isEmpty()) {
            return;
        }
        keeper.coldServers(context.dispatcher().coldServers(now));
        keeper.observe(now);
        keeper.tick(
                new GroupKeeper.Inputs(
                        configuration.get(),
                        fleet.servers(),
                        mesh.totalDemand(context.dispatcher().demand(now), now),
                        mesh.stagingOfPeers(now),
                        KeeperRanks.share(mesh.rankAmongCandidates(now), mesh.candidateCount(now)),
                        fleet.evacuations().zones()),
                now);
    }

    /** Logs a census of the engines, so that a capacity shortage is visible in the log of any entry. */
    private void logCensus() {
        Moment now = clock.now();
        crashGuard.expire(now);
        fleet.configuration()
                .ifPresent(c -> CensusLog.write(
                        log,
                        c,
                        fleet.servers(),
                        mesh.totalDemand(context.dispatcher().demand(now), now)));
    }

    private void logSlowTargets() {
        for (String target : context.dispatcher().detectSlowTargets(clock.now())) {
            log.write("slow", "the streams of the group are much slower than those of other groups", "target", target);
        }
    }

    private synchronized void renewLease() {
        if (!fleet.isComplete() || shutdown.inProgress()) {
            return;
        }
        Moment now = clock.now();
        candidacy
                .decide(mesh.rankAmongCandidates(now), lease.holdsAnyPartition(), isPartitioned(), now)
                .apply(lease);
    }

    /** Checks the requests in progress, and informs entries at once of the slots that requests for them have left. */
    private void checkRequests() {
        evacuations.tick(clock.now());
        context.tick(clock.now());
        Set<InstanceId> moveTargets = context.relay().takeMoveTargets();
        if (!moveTargets.isEmpty()) {
            gossip.exchangeStateWith(moveTargets);
        }
    }

    /**
     * Releases or requests the lease and informs the other entries at once when a partition from the backend servers
     * begins or ends.
     */
    private void checkPartition() {
        boolean partitionedNow = isPartitioned();
        if (partitionedNow != wasPartitioned) {
            wasPartitioned = partitionedNow;
            keeper.discardSuspicions();
            renewLease();
            gossip.exchangeStateWithAll();
        }
    }

    private boolean isPartitioned() {
        return surroundings.link().isPartitioned();
    }

    private boolean isReady() {
        return fleet.isComplete() && fleet.evacuations().isKnown() && announcedAt.isPresent() && !shutdown.inProgress();
    }

    private List<String> addresses(Optional<AvailabilityZone> zone, Moment now) {
        return mesh.addresses(zone, isReady(), now);
    }

    /**
     * Shuts the entry down: releases the lease, reports to peers that it is not ready, keeps serving requests until
     * callers have left, and returns before the grace period ends. Requests that are then still in progress are refused.
     */
    void stop() {
        Moment startedAt = clock.now();
        shutdown.begin(startedAt);
        log.write("stop", "shutting down", "active", context.active().size());
        PeriodicTasks.runAndLogFailure(lease::release);
        PeriodicTasks.runAndLogFailure(gossip::exchangeState);
        try {
            serveUntilCallersHaveLeft(startedAt);
            int unfinished = context.active().size();
            context.active().forEach(x -> x.endWithProcess(clock.now()));
            awaitLastWrites(clock.now());
            log.write(
                    "stop",
                    "done",
                    "active",
                    unfinished,
                    "unwritten",
                    context.active().size());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void serveUntilCallersHaveLeft(Moment startedAt) throws InterruptedException {
        Duration maxDuration = settings.bounds().gracePeriod().minus(GRACE_PERIOD_MARGIN);
        Moment lastActive = startedAt;
        while (clock.now().since(startedAt).compareTo(maxDuration) < 0) {
            Moment now = clock.now();
            if (!context.active().isEmpty() || !shutdown.refusesNewRequests(false, now)) {
                lastActive = now;
            }
            if (now.since(lastActive).compareTo(IDLE_BEFORE_EXIT) > 0) {
                return;
            }
            TimeUnit.MILLISECONDS.sleep(STOP_CHECK_INTERVAL.toMillis());
        }
    }

    private void awaitLastWrites(Moment since) throws InterruptedException {
        while (!context.active().isEmpty() && clock.now().since(since).compareTo(LAST_WRITE_TIMEOUT) < 0) {
            TimeUnit.MILLISECONDS.sleep(STOP_CHECK_INTERVAL.toMillis());
        }
    }
}
