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
import org.baobabspindle.serving.LogReader;
import org.baobabspindle.serving.LogView;
import org.baobabspindle.serving.MonotonicClock;
import org.baobabspindle.serving.RequestPipeline;
import org.baobabspindle.settings.EntrySettings;
import org.eclipse.jetty.client.HttpClient;

/** The process of an entry: creates, starts and stops its servers, clients, shared tables and periodic loops. */
public final class EntryNode implements AutoCloseable {
    private static final Duration INSTANCE_LIST_INTERVAL = Duration.ofSeconds(2);
    private static final Duration SERVICE_STATUS_INTERVAL = Duration.ofSeconds(1);
    private static final Duration ASSESSMENT_INTERVAL = Duration.ofMillis(700);
    private static final Duration FRESHNESS_INTERVAL = Duration.ofSeconds(1);
    private static final Duration SNAPSHOT_INTERVAL = Duration.ofSeconds(5);
    private static final Duration INTENT_EXPIRY_INTERVAL = Duration.ofMinutes(1);
    private static final Duration KEEPER_INTERVAL = Duration.ofMillis(500);
    private static final Duration MEMBERSHIP_INTERVAL = Duration.ofSeconds(3);
    private static final Duration SETTLE_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration DRAIN_TIMEOUT = Duration.ofMinutes(30);

    private final EntrySettings settings;
    private final EntryTables tables;
    private final HttpClient pooled;
    private final HttpClient unpooled;
    private final ExecutorService workers;
    private final ScheduledExecutorService loops;
    private final LogAppender appender;
    private final LogFollower follower;
    private final PeerClient peers;
    private final PeerServer peerServer;
    private final CallerServer callerServer;
    private final RequestPipeline pipeline;
    private final AtomicInteger inProgress = new AtomicInteger();
    private final AtomicBoolean stopping = new AtomicBoolean();

    private EntryNode(EntrySettings settings, CallerServer callers) throws IOException {
        this.settings = settings;
        MonotonicClock clock = new MonotonicClock();
        this.callerServer = callers;
        this.workers = Executors.newCachedThreadPool(DaemonThreads.factory("worker"));
        this.loops = Executors.newScheduledThreadPool(4, DaemonThreads.factory("loop"));
        this.pooled = HttpClients.pooled("http-polls");
        this.unpooled = HttpClients.unpooled("http-calls");
        PeerTraffic traffic = new PeerTraffic();
        PeerSecret secret = new PeerSecret(settings.peerSecret());
        Incarnation id = Incarnation.of(settings.instance(), clock.instant().toEpochMilli());
        this.peers = new PeerClient(id, secret, workers, traffic);
        LogClient log = new LogClient(pooled, settings.logUrl());
        this.appender = new LogAppender(log, id);
        DeferredPeerResponder peerResponder = new DeferredPeerResponder();
        this.peerServer =
                PeerServer.start(settings.host(), settings.peerPort(), secret, workers, peerResponder, traffic);
        this.tables = tables(settings, id, clock, callerServer.port(), peerServer.port());
        this.follower =
                new LogFollower(log, clock::instant, longPollTimeout(settings), new LogReplayer(tables, appender));
        appender.setAppendListener(follower::requestImmediateRead);
        LogReader logReader = new FollowerLogReader(follower);
        EngineClient engines = new EngineClient(pooled);
        GroupAssessmentLoop assessments = new GroupAssessmentLoop(tables, peers, engines, GroupTimings.DEFAULT);
        ServiceClient serviceClient = new ServiceClient(unpooled, pooled);
        this.pipeline = new RequestPipeline(
                tables,
                GroupTimings.DEFAULT,
                settings.maxRunningPerGroup(),
                new RequestPipeline.BackendClients(engines, new CompletionClient(unpooled), serviceClient),
                new BroadcastingAppender(appender, tables, peers),
                logReader,
                new PeerForwarder(tables, peers),
                new PeerHomeClient(peers),
                assessments,
                RandomGenerator.getDefault());
        peerResponder.set(new PeerRequestResponder(tables, pipeline, inProgress, logReader));
        startLoops(assessments, engines, serviceClient, traffic);
    }

    /**
     * Returns the timeout of a long poll; two polls and the transfer of their answers must fit into the freshness
     * limit.
     */
    private static Duration longPollTimeout(EntrySettings settings) {
        return settings.freshnessLimit().dividedBy(3);
    }

    /**
     * Starts an entry. It accepts requests once it has read the log to its head.
     *
     * @param settings the settings
     * @return the running entry
     * @throws Exception if a port cannot be bound
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
            GroupAssessmentLoop assessments, EngineClient engines, ServiceClient serviceClient, PeerTraffic traffic) {
        VersionClient versionClient = new VersionClient(tables, peers);
        FreshnessLoop freshness = new FreshnessLoop(tables, versionClient);
        EntryMetrics metrics = new EntryMetrics(tables, traffic, appender, () -> HttpClients.bytesTransferred(pooled));
        callerServer.setEndpoints(
                new Endpoints(settings, tables, pipeline).byPathPrefix(metrics, appender::append, freshness),
                inProgress);
        DaemonThreads.factory("log-follower").newThread(follower::run).start();
        DaemonThreads.factory("log-appender").newThread(appender::run).start();
        PlatformLoop platform =
                new PlatformLoop(tables, new InstanceListClient(pooled, settings.instanceListUrl()), serviceClient);
        KeeperLoop keeper = new KeeperLoop(tables, appender::append, engines);
        MembershipLoop membership = new MembershipLoop(tables, appender::append, versionClient);
        SnapshotLoop snapshots = new SnapshotLoop(tables, appender::append, settings.snapshotRecords());
        workers.execute(platform::readInstanceList);
        schedule(INSTANCE_LIST_INTERVAL, platform::readInstanceList);
        schedule(SERVICE_STATUS_INTERVAL, platform::pollServiceStatus);
        schedule(ASSESSMENT_INTERVAL, assessments::run);
        schedule(FRESHNESS_INTERVAL, freshness::run);
        schedule(SNAPSHOT_INTERVAL, () -> ifCaughtUp(snapshots::run));
        schedule(INTENT_EXPIRY_INTERVAL, () -> ifCaughtUp(snapshots::expireIntents));
        schedule(KEEPER_INTERVAL, () -> ifCaughtUp(keeper::run));
        schedule(MEMBERSHIP_INTERVAL, () -> ifCaughtUp(membership::run));
    }

    /** Runs a task that appends to the log, unless this entry has not yet read the log to its head or is stopping. */
    private void ifCaughtUp(Runnable task) {
        if (follower.caughtUp().isDone() && !stopping.get()) {
            task.run();
        }
    }

    private void schedule(Duration interval, Runnable task) {
        Loop.scheduleWithDelay(loops, workers, interval, task);
    }

    /**
     * Returns the port on which callers connect.
     *
     * @return the TCP port
     */
    public int port() {
        return callerServer.port();
    }

    /**
     * Stops without interrupting requests in progress: withdraws the address of this entry, waits until callers no
     * longer use it and until the requests in progress have completed, then leaves the region and closes.
     */
    public void stopGracefully() {
        DecisionLog.write("stop", "stop requested; withdrawing the address of this entry", "entry", tables.id());
        stopping.set(true);
        appendAndWait(new EntryLeaving());
        appendAndWait(new KeepersReleased());
        sleep(settings.addressLifetimeMillis());
        pipeline.close();
        boolean idle = pipeline.awaitIdle(inProgress::get, DRAIN_TIMEOUT);
        DecisionLog.write(
                "stop", idle ? "no request is in progress" : "the drain timeout expired", "entry", tables.id());
        RegionMembers members =
                tables.log().with(v -> v.state().membership().of(tables.self().region()));
        VersionClient versionClient = new VersionClient(tables, peers);
        new MembershipLoop(tables, appender::append, versionClient).leave(members);
        close();
    }

    private void appendAndWait(LogRecord record) {
        try {
            appender.append(record).get(SETTLE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
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
            unpooled.stop();
        } catch (Exception e) {
            throw new IllegalStateException("the entry did not stop cleanly", e);
        } finally {
            // The selectors of the peer server run on the workers; without them its close would never return.
            workers.shutdownNow();
        }
    }
}
