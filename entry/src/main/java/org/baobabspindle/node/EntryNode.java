package org.baobabspindle.node;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;
import org.baobabspindle.application.ServiceClient;
import org.baobabspindle.core.freshness.Freshness;
import org.baobabspindle.core.group.GroupTimings;
import org.baobabspindle.core.group.Keeper;
import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.Region;
import org.baobabspindle.core.log.EntryDescription;
import org.baobabspindle.core.log.EntryLeaving;
import org.baobabspindle.core.log.KeepersReleased;
import org.baobabspindle.core.log.LogRecord;
import org.baobabspindle.core.log.Membership.RegionMembers;
import org.baobabspindle.core.request.IdempotencyKeyTable;
import org.baobabspindle.core.request.Ticket;
import org.baobabspindle.http.HttpClients;
import org.baobabspindle.logging.DecisionLog;
import org.baobabspindle.peer.PeerClient;
import org.baobabspindle.peer.PeerSecret;
import org.baobabspindle.peer.PeerServer;
import org.baobabspindle.peer.PeerTraffic;
import org.baobabspindle.platform.InstanceListClient;
import org.baobabspindle.platform.LogAppender;
import org.baobabspindle.platform.LogClient;
import org.baobabspindle.platform.LogFollower;
import org.baobabspindle.runner.CompletionClient;
import org.baobabspindle.runner.EngineClient;
import org.baobabspindle.serving.EntryTables;
import org.baobabspindle.serving.GroupTables;
import org.baobabspindle.serving.Guarded;
import org.baobabspindle.serving.IdempotencyKeys;
import org.baobabspindle.serving.LocalLoadTable;
import org.baobabspindle.serving.LogView;
import org.baobabspindle.serving.MonotonicClock;
import org.baobabspindle.serving.RequestPipeline;
import org.baobabspindle.settings.EntrySettings;
import org.eclipse.jetty.client.HttpClient;

/** The process of an entry: puts the peers, the shared tables and the loops together, starts and stops them. */
public final class EntryNode implements AutoCloseable {
    private static final Duration LIST_INTERVAL = Duration.ofSeconds(2);
    private static final Duration SERVICE_INTERVAL = Duration.ofSeconds(1);
    private static final Duration EVIDENCE_INTERVAL = Duration.ofMillis(700);
    private static final Duration FRESHNESS_INTERVAL = Duration.ofSeconds(1);
    private static final Duration SNAPSHOT_INTERVAL = Duration.ofSeconds(5);
    private static final Duration EXPIRY_INTERVAL = Duration.ofMinutes(1);
    private static final Duration KEEPER_INTERVAL = Duration.ofMillis(500);
    private static final Duration MEMBERSHIP_INTERVAL = Duration.ofSeconds(3);
    private static final Duration SETTLE_WAIT = Duration.ofSeconds(3);
    private static final Duration DRAIN_WAIT = Duration.ofMinutes(30);

    private final EntrySettings settings;
    private final EntryTables tables;
    private final HttpClient pooled;
    private final HttpClient fresh;
    private final ExecutorService workers;
    private final ScheduledExecutorService loops;
    private final LogAppender appender;
    private final LogFollower follower;
    private final PeerClient peers;
    private final PeerServer peerServer;
    private final CallerServer callerServer;
    private final RequestPipeline services;
    private final AtomicInteger inProgress = new AtomicInteger();
    private final AtomicBoolean stopping = new AtomicBoolean();

    private EntryNode(EntrySettings settings, CallerServer callers) throws IOException {
        this.settings = settings;
        MonotonicClock clock = new MonotonicClock();
        this.callerServer = callers;
        this.workers = Executors.newCachedThreadPool(DaemonThreads.named("worker"));
        this.loops = Executors.newScheduledThreadPool(4, DaemonThreads.named("loop"));
        this.pooled = HttpClients.pooled("http-polls");
        this.fresh = HttpClients.unpooled("http-calls");
        PeerTraffic traffic = new PeerTraffic();
        PeerSecret secret = new PeerSecret(settings.peerSecret());
        Incarnation id = Incarnation.of(settings.instance(), clock.instant().toEpochMilli());
        this.peers = new PeerClient(id, secret, workers, traffic);
        LogClient log = new LogClient(pooled, settings.logUrl());
        this.appender = new LogAppender(log, id);
        DeferredPeerResponder answers = new DeferredPeerResponder();
        this.peerServer = PeerServer.start(settings.host(), settings.peerPort(), secret, workers, answers, traffic);
        this.tables = tables(settings, id, clock, callerServer.port(), peerServer.port());
        this.follower = new LogFollower(log, clock::instant, longPoll(settings), new LogReplayer(tables, appender));
        appender.setAppendListener(follower::requestImmediateRead);
        EngineClient engines = new EngineClient(pooled);
        GroupAssessmentLoop evidence = new GroupAssessmentLoop(tables, peers, engines, GroupTimings.DEFAULT);
        ServiceClient serviceClient = new ServiceClient(fresh, pooled);
        this.services = new RequestPipeline(
                tables,
                GroupTimings.DEFAULT,
                settings.maxRunningPerGroup(),
                new RequestPipeline.BackendClients(engines, new CompletionClient(fresh), serviceClient),
                new BroadcastingAppender(appender, tables, peers),
                new PeerForwarder(tables, peers),
                new PeerHomeClient(peers),
                evidence,
                RandomGenerator.getDefault());
        answers.set(new PeerRequestResponder(tables, services, inProgress, follower::requestImmediateRead));
        startLoops(evidence, engines, serviceClient, traffic);
    }

    /** Two polls and the way of their answers must fit into the freshness bound. */
    private static Duration longPoll(EntrySettings settings) {
        return settings.freshnessLimit().dividedBy(3);
    }

    /**
     * Starts an entry. It takes requests once it has read the log to its head.
     *
     * @param settings the settings
     * @return the running entry
     * @throws Exception if it cannot listen
     */
    public static EntryNode start(EntrySettings settings) throws Exception {
        CallerServer callers = CallerServer.listen(settings.host(), settings.port());
        EntryNode node = new EntryNode(settings, callers);
        callers.start();
        return node;
    }

    private static EntryTables tables(
            EntrySettings settings, Incarnation id, MonotonicClock clock, int port, int peerPort) {
        Region region = Region.of(settings.region());
        EntryDescription self = new EntryDescription(
                id,
                AvailabilityZone.of(settings.zone()),
                region,
                "http://" + settings.host() + ':' + port,
                settings.host(),
                peerPort,
                false);
        IdempotencyKeyTable keys =
                new IdempotencyKeyTable(settings.maxKeys(), settings.maxAnswerBytes(), Ticket.KEY_RETENTION);
        return new EntryTables(
                self,
                clock,
                Guarded.of(Guarded.Rank.STATE, new LogView(new Freshness(id, region, settings.freshnessLimit()))),
                Guarded.of(Guarded.Rank.GROUPS, new GroupTables(new Keeper(id, region, GroupTimings.DEFAULT))),
                Guarded.of(Guarded.Rank.KEYS, new IdempotencyKeys(keys)),
                Guarded.of(Guarded.Rank.LOADS, new LocalLoadTable()));
    }

    private void startLoops(
            GroupAssessmentLoop evidence, EngineClient engines, ServiceClient serviceClient, PeerTraffic traffic) {
        VersionClient asker = new VersionClient(tables, peers);
        FreshnessLoop freshness = new FreshnessLoop(tables, asker);
        EntryMetrics metrics = new EntryMetrics(tables, traffic, appender, () -> HttpClients.bytesTransferred(pooled));
        callerServer.handle(
                new Endpoints(settings, tables, services).of(metrics, appender::append, freshness), inProgress);
        DaemonThreads.named("log-follower").newThread(follower::run).start();
        DaemonThreads.named("log-appender").newThread(appender::run).start();
        PlatformLoop platform =
                new PlatformLoop(tables, new InstanceListClient(pooled, settings.instanceListUrl()), serviceClient);
        KeeperLoop keeper = new KeeperLoop(tables, appender::append, engines);
        MembershipLoop membership = new MembershipLoop(tables, appender::append, asker);
        SnapshotLoop snapshots = new SnapshotLoop(tables, appender::append, settings.snapshotRecords());
        workers.execute(platform::readList);
        every(LIST_INTERVAL, platform::readList);
        every(SERVICE_INTERVAL, platform::askServices);
        every(EVIDENCE_INTERVAL, evidence::run);
        every(FRESHNESS_INTERVAL, freshness::run);
        every(SNAPSHOT_INTERVAL, () -> ifCaughtUp(snapshots::run));
        every(EXPIRY_INTERVAL, () -> ifCaughtUp(snapshots::expireIntents));
        every(KEEPER_INTERVAL, () -> ifCaughtUp(keeper::run));
        every(MEMBERSHIP_INTERVAL, () -> ifCaughtUp(membership::run));
    }

    /** Runs a step that speaks for this entry in the log: only once it has read the log, and not when it is stopping. */
    private void ifCaughtUp(Runnable loop) {
        if (follower.caughtUp().isDone() && !stopping.get()) {
            loop.run();
        }
    }

    private void every(Duration pause, Runnable loop) {
        Loop.every(loops, workers, pause, loop);
    }

    /**
     * Returns the port for callers.
     *
     * @return the TCP port
     */
    public int port() {
        return callerServer.port();
    }

    /** Stops without cutting off a request in progress: leaves the address answers, waits, finishes and exits. */
    public void stopGracefully() {
        DecisionLog.write("stop", "told to stop; leaving the address answers", "entry", tables.id());
        stopping.set(true);
        append(new EntryLeaving());
        append(new KeepersReleased());
        sleep(settings.addressLifetimeMillis());
        services.close();
        boolean idle = services.awaitIdle(inProgress::get, DRAIN_WAIT);
        DecisionLog.write("stop", idle ? "nothing is in progress" : "waited long enough", "entry", tables.id());
        RegionMembers members =
                tables.log().with(v -> v.state().membership().of(tables.self().region()));
        VersionClient asker = new VersionClient(tables, peers);
        new MembershipLoop(tables, appender::append, asker).leave(members);
        close();
    }

    private void append(LogRecord record) {
        try {
            appender.append(record).get(SETTLE_WAIT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            DecisionLog.write("stop", "the log did not settle a record in time", "entry", tables.id());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void sleep(int millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        loops.shutdownNow();
        callerServer.close();
        peers.close();
        try {
            peerServer.close();
            pooled.stop();
            fresh.stop();
        } catch (Exception e) {
            throw new IllegalStateException("the entry did not stop cleanly", e);
        } finally {
            // The selectors of the peer server run on these workers; without them its stop waits forever.
            workers.shutdownNow();
        }
    }
}
