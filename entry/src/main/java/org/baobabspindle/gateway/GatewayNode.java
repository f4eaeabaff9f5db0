package org.baobabspindle.gateway;

import java.io.IOException;
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
import org.baobabspindle.core.dispatch.TargetChooser;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.FleetConfiguration;
import org.baobabspindle.core.fleet.PlanPolicy;
import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.logging.EventLog;
import org.baobabspindle.peer.PeerSecret;
import org.baobabspindle.peer.PeerServer;
import org.baobabspindle.peer.PeerTraffic;
import org.baobabspindle.port.EnginePort;
import org.baobabspindle.port.Feed;
import org.baobabspindle.port.FeedPage;
import org.baobabspindle.port.GatewaySettings;
import org.baobabspindle.port.Platform;
import org.baobabspindle.port.PlatformStore;
import org.baobabspindle.settings.SettingsException;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** An entry on a platform of the users: its tables, its loops, its start and its stop. */
public final class GatewayNode {
    /** Threads for callers, backend servers and the store; none of them waits. */
    private static final int MAX_THREADS = 16;

    /** Workers for messages between entries. */
    private static final int PEER_WORKERS = 4;

    /** How often time limits and connections of callers are looked at. */
    private static final Duration TICK_INTERVAL = Duration.ofMillis(50);

    /** How often the keeper decides when nothing has changed. */
    private static final Duration KEEPER_INTERVAL = Duration.ofMillis(100);

    /** How often groups are compared; a slow one has sent some events by then. */
    private static final Duration SLOW_TARGET_CHECK_INTERVAL = Duration.ofMillis(250);

    /** How long the keeper waits for further changes before it decides; lists change many times a second in a large fleet. */
    private static final Duration KEEPER_DEBOUNCE = Duration.ofMillis(15);

    /** How often the lease is renewed; three calls fit into the shortest lease. */
    private static final Duration LEASE_RENEWAL_INTERVAL = Duration.ofMillis(350);

    /** How often the log tells what the engines do. */
    private static final Duration CENSUS_INTERVAL = Duration.ofSeconds(2);

    /** How long this entry stays after the last request when it stops, so that callers have seen it leave. */
    private static final Duration IDLE_BEFORE_EXIT = Duration.ofSeconds(1);

    /** Taken off the grace period, so that the process ends before it is killed. */
    private static final Duration GRACE_PERIOD_MARGIN = Duration.ofMillis(400);

    private static final FeedPoller.PollIntervals ENTRIES_POLL_INTERVALS =
            new FeedPoller.PollIntervals(Duration.ofSeconds(15), Duration.ofMillis(300));

    private final GatewayClock clock = new GatewayClock();
    private final EventLog log = new EventLog();
    private final GatewayMetrics metrics = new GatewayMetrics();
    private final PeerTraffic traffic = new PeerTraffic();
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2, r -> daemonThread(r, "timer"));
    private final ThreadPoolExecutor peerWorkers =
            (ThreadPoolExecutor) Executors.newFixedThreadPool(PEER_WORKERS, r -> daemonThread(r, "peer-worker"));
    private final GatewaySettings settings;
    private final QueuedThreadPool threads;
    private final HttpClient client;
    private final PlatformStore store;
    private final FleetTable fleet;
    private final ShutdownState shutdown;
    private final EntryAnnouncement self;
    private final PeerMesh mesh;
    private final GatewayContext context;
    private final KeeperLease lease;
    private final GroupKeeper keeper;
    private final SuspectGroupProber suspectProber;
    private final CrashGuard crashGuard;
    private final GatewayGossip gossip;
    private final GatewayServer server;
    private PeerServer peerServer;
    private final AtomicBoolean keeperRunScheduled = new AtomicBoolean();
    private final KeeperCandidacy candidacy = new KeeperCandidacy(clock.now());
    private volatile boolean announced;

    private GatewayNode(Platform platform, PlanPolicy policy) throws Exception {
        settings = platform.settings();
        threads = new QueuedThreadPool(MAX_THREADS, 4);
        threads.setName("gateway");
        threads.setDaemon(true);
        client = GatewayServer.startClient(threads);
        RecentPages recent = new RecentPages();
        store = new RelayedStore(platform.store(client), this::readsFromFollowers, this::readFromFollower, recent, clock);
        fleet = new FleetTable(platform.decoder(), log);
        shutdown = new ShutdownState(settings.bounds().gracePeriod());
        self = createAnnouncement();
        mesh = new PeerMesh(self, peerWorkers, traffic, log);
        SplittableRandom random =
                new SplittableRandom(System.nanoTime() ^ self.entry().hashCode());
        Dispatcher dispatcher = new Dispatcher(
                fleet,
                new TargetChooser(settings.zone(), random.split()),
                mesh::entryCount,
                settings.bounds(),
                threads);
        ServerNotices notices = new ServerNotices(clock, log, noticeListener(dispatcher));
        EnginePort engines = platform.engines(client, notices::responseReceived);
        crashGuard = new CrashGuard(fleet, engines, clock, log, metrics, new SynchronizedRandom(random.split()));
        context = new GatewayContext(
                clock,
                fleet,
                dispatcher,
                client,
                notices,
                crashGuard,
                platform.headers(),
                shutdown,
                log,
                metrics,
                new SynchronizedRandom(random.split()),
                mesh::entryCount,
                settings.bounds());
        Duration timeToLive =
                Duration.ofMillis(Math.max(settings.minLeaseDuration().toMillis(), 1_300));
        lease = new KeeperLease(store, self.entry().toString(), timeToLive, clock, log);
        keeper = new GroupKeeper(engines, settings, policy, lease, clock, log, metrics);
        gossip = new GatewayGossip(
                self, context, mesh, keeper, this::isReady, this::fleetChanged, notices, recent, this::readsStoreOften);
        suspectProber = new SuspectGroupProber(context, engines, gossip::broadcastSuspects, log);
        gossip.setSuspicionListener(suspectProber::receiveSuspects);
        crashGuard.peers(gossip);
        server = new GatewayServer(settings, threads);
        server.start(new GatewayHandler(
                context, settings.listeners(), platform.directory(), this::addresses, this::isReady, metrics));
    }

    private ServerNotices.Listener noticeListener(Dispatcher dispatcher) {
        return new ServerNotices.Listener() {
            @Override
            public void serversLeaving(Set<BackendServer.Lifetime> all) {
                fleet.markLeaving(all);
                fleetChanged();
            }

            @Override
            public void backOffRequested(BackendServer.Lifetime server, Duration time, Moment now) {
                dispatcher.backOff(server, time, now);
            }
        };
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
                HexFormat.of().formatHex(secret));
    }

    /**
     * Runs an entry until the process is told to stop.
     *
     * @param platform the platform to run on
     * @param policy what the users weigh against each other when groups are formed
     * @throws Exception if the entry cannot start
     */
    public static void run(Platform platform, PlanPolicy policy) throws Exception {
        GatewayNode node = new GatewayNode(platform, policy);
        Runtime.getRuntime().addShutdownHook(new Thread(node::stop, "stop"));
        HangupSignal.handle(() -> node.reload(platform));
        node.start();
        Thread.currentThread().join();
    }

    /** Starts an entry that ends with {@link #shutDown()}. */
    static GatewayNode open(Platform platform) throws Exception {
        GatewayNode node = new GatewayNode(platform, PlanPolicy.EVEN);
        node.start();
        return node;
    }

    void shutDown() throws Exception {
        timer.shutdownNow();
        server.stop();
        client.stop();
        peerServer.close();
        mesh.close();
        peerWorkers.shutdownNow();
        threads.stop();
    }

    /**
     * Starts an entry, asks it questions and returns; the caller ends the process.
     *
     * @param platform the platform; its store need not answer
     * @param questions the URLs to ask
     * @throws Exception if the entry cannot start or answers nothing at all
     */
    public static void rehearse(Platform platform, List<String> questions) throws Exception {
        GatewayNode node = new GatewayNode(platform, PlanPolicy.EVEN);
        node.start();
        for (String url : questions) {
            int status = node.client.GET(url).getStatus();
            node.log.write("rehearsal", "a question was answered", "url", url, "status", status);
        }
    }

    /** Reads the settings again; what has changed takes effect at the next start. */
    private void reload(Platform platform) {
        try {
            boolean same = platform.reload().equals(settings);
            log.write("reload", same ? "the settings are the same" : "changed settings wait for the next start");
        } catch (SettingsException e) {
            log.write("reload", "the settings cannot be used and are ignored: " + e.getMessage());
        }
    }

    private void start() throws IOException {
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
                () -> FleetScaling.configurationIntervals(mesh.entryCount(), readsStoreOften()),
                (page, whole, askedAt) -> {
                    fleet.configurationRead(page.records(), askedAt);
                    fleetChanged();
                });
        startPoller(
                Feed.BACKEND_SERVERS,
                () -> FleetScaling.serverListIntervals(mesh.entryCount(), readsStoreOften()),
                (page, whole, askedAt) -> {
                    fleet.serversRead(page.records(), whole, clock.now());
                    crashGuard.serversListed();
                    fleetChanged();
                });
        startPoller(Feed.ENTRIES, () -> ENTRIES_POLL_INTERVALS, (page, whole, askedAt) -> mesh.announcementsRead(page.records()));
        announce();
        scheduleEvery(TICK_INTERVAL, () -> context.tick(clock.now()));
        scheduleEvery(TICK_INTERVAL, () -> suspectProber.tick(clock.now()));
        scheduleEvery(TICK_INTERVAL, () -> crashGuard.tick(clock.now()));
        scheduleEvery(KEEPER_INTERVAL, this::runKeeper);
        scheduleEvery(SLOW_TARGET_CHECK_INTERVAL, this::logSlowTargets);
        scheduleEvery(LEASE_RENEWAL_INTERVAL, this::renewLease);
        scheduleEvery(FleetScaling.EXCHANGE_INTERVAL, gossip::exchangeState);
        scheduleEvery(CENSUS_INTERVAL, this::logCensus);
    }

    /** Returns whether this entry reads the list of backend servers from others. */
    private boolean readsFromFollowers() {
        return !readsStoreOften() && FleetScaling.readsFromFollowers(mesh.entryCount());
    }

    private CompletableFuture<Optional<FeedPage>> readFromFollower(long from) {
        return mesh.readServers(from, clock.now());
    }

    /** Returns whether this entry reads the store at short intervals: a keeper does, and one that has not read it yet. */
    private boolean readsStoreOften() {
        return !fleet.isComplete() || lease.holdsAnyPartition();
    }

    private interface PageSink {
        void read(FeedPage page, boolean whole, Moment askedAt);
    }

    private void startPoller(Feed feed, Supplier<FeedPoller.PollIntervals> pace, PageSink sink) {
        FeedPoller.Sink loopSink = new FeedPoller.Sink() {
            @Override
            public void pageRead(FeedPage page, boolean whole, Moment askedAt) {
                sink.read(page, whole, askedAt);
            }

            @Override
            public void storeRecovered() {
                // Another feed may be read again seconds later; the time for servers to return counts from their own.
                if (feed == Feed.BACKEND_SERVERS) {
                    fleet.storeRecovered(clock.now());
                }
            }
        };
        new FeedPoller(store, feed, pace, loopSink, clock, timer, log).start();
    }

    private void scheduleEvery(Duration pause, Runnable step) {
        timer.scheduleWithFixedDelay(() -> runAndLogFailure(step), pause.toMillis(), pause.toMillis(), TimeUnit.MILLISECONDS);
    }

    private static void runAndLogFailure(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            System.getLogger(GatewayNode.class.getName()).log(System.Logger.Level.ERROR, "a step failed", e);
        }
    }

    private void announce() {
        store.announce(self.entry().instance().value(), self.toJson()).whenComplete((done, failure) -> {
            if (failure == null) {
                announced = true;
                log.write("start", "announced to other entries");
            } else {
                timer.schedule(this::announce, 300, TimeUnit.MILLISECONDS);
            }
        });
    }

    private void fleetChanged() {
        context.dispatcher().drain(clock.now());
        if (keeperRunScheduled.compareAndSet(false, true)) {
            timer.schedule(
                    () -> {
                        keeperRunScheduled.set(false);
                        runAndLogFailure(this::runKeeper);
                    },
                    KEEPER_DEBOUNCE.toMillis(),
                    TimeUnit.MILLISECONDS);
        }
    }

    private void runKeeper() {
        Moment now = clock.now();
        fleet.applyDueRemovals(now);
        Optional<FleetConfiguration> configuration = fleet.configuration();
        if (configuration.isEmpty() || shutdown.inProgress() || lease.term(now).isEmpty()) {
            return;
        }
        keeper.tick(
                new GroupKeeper.Inputs(
                        configuration.get(),
                        fleet.servers(),
                        mesh.totalDemand(context.dispatcher().demand(now), now),
                        mesh.stagingOfPeers(now),
                        KeeperRanks.share(mesh.rankAmongAlive(now), mesh.aliveEntryCount(now))),
                now);
    }

    /** Logs what the engines do, so that a shortage can be told from the log of any entry. */
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
            log.write("slow", "its streams are much slower than those of other groups", "target", target);
        }
    }

    private void renewLease() {
        if (!fleet.isComplete() || shutdown.inProgress()) {
            return;
        }
        Moment now = clock.now();
        candidacy
                .decide(mesh.rankAmongAlive(now), lease.holdsAnyPartition(), now)
                .apply(lease);
    }

    private boolean isReady() {
        return fleet.isComplete() && announced && !shutdown.inProgress();
    }

    private List<String> addresses(Optional<AvailabilityZone> zone, Moment now) {
        return mesh.addresses(zone, isReady(), now);
    }

    /** Takes part in nothing new, serves what callers still send, and ends before the process is killed. */
    void stop() {
        Moment begun = clock.now();
        shutdown.begin(begun);
        log.write("stop", "told to stop", "active", context.active().size());
        lease.release();
        gossip.exchangeState();
        Duration most = settings.bounds().gracePeriod().minus(GRACE_PERIOD_MARGIN);
        Moment lastActive = begun;
        try {
            while (clock.now().since(begun).compareTo(most) < 0) {
                Moment now = clock.now();
                if (!context.active().isEmpty() || !shutdown.refusesNewRequests(false, now)) {
                    lastActive = now;
                }
                if (now.since(lastActive).compareTo(IDLE_BEFORE_EXIT) > 0) {
                    break;
                }
                TimeUnit.MILLISECONDS.sleep(50);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        log.write("stop", "done", "active", context.active().size());
    }
}
