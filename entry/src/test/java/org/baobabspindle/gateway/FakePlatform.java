package org.baobabspindle.gateway;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.FleetConfiguration;
import org.baobabspindle.core.fleet.Liveness;
import org.baobabspindle.core.fleet.ServerRegistration;
import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.id.Region;
import org.baobabspindle.port.DirectoryFormat;
import org.baobabspindle.port.EngineOrder;
import org.baobabspindle.port.EnginePort;
import org.baobabspindle.port.EngineReport;
import org.baobabspindle.port.Feed;
import org.baobabspindle.port.FeedPage;
import org.baobabspindle.port.FeedPosition;
import org.baobabspindle.port.FeedRecord;
import org.baobabspindle.port.FleetDecoder;
import org.baobabspindle.port.ForwardingHeaders;
import org.baobabspindle.port.GatewaySettings;
import org.baobabspindle.port.LeaseGrant;
import org.baobabspindle.port.OrderAnswer;
import org.baobabspindle.port.Platform;
import org.baobabspindle.port.PlatformStore;
import org.baobabspindle.port.ResponseHeadListener;
import org.baobabspindle.port.StoreException;
import org.baobabspindle.standins.FreePorts;
import org.eclipse.jetty.client.HttpClient;

/** An in-memory platform: one configuration, a list of backend servers, and a store that can be made to fail. */
final class FakePlatform implements Platform, PlatformStore, FleetDecoder, EnginePort, DirectoryFormat {
    static final ForwardingHeaders HEADERS = new ForwardingHeaders(
            "Id",
            "Left-Ms",
            "Key",
            "Account",
            "Expect",
            "Not-Run",
            "Leaving",
            "Limit",
            "Cold-Ms",
            "Stamp",
            "Model",
            "Tokens",
            "Parts",
            "Urgency",
            "Last-Event-Id",
            "Fault-At");

    private static final String PUBLISHED_PREFIX = "published ";
    private static final String VERSION_PREFIX = "version ";
    private static final String EVACUATION_PREFIX = "evacuate ";
    private static final String MALFORMED = "half of a rec";

    private volatile FleetConfiguration configuration;
    private final List<FleetConfiguration> published = new CopyOnWriteArrayList<>();
    private final List<BackendServer> servers;
    private final List<Integer> ports;
    private final Set<String> evacuated = ConcurrentHashMap.newKeySet();
    private final Set<Feed> failingFeeds = ConcurrentHashMap.newKeySet();
    private volatile CompletableFuture<Void> latestEntriesDelay = CompletableFuture.completedFuture(null);
    private final Set<InstanceId> unresponsive = ConcurrentHashMap.newKeySet();
    private final Set<InstanceId> probeFailures = ConcurrentHashMap.newKeySet();
    private final Set<InstanceId> timeouts = ConcurrentHashMap.newKeySet();
    private final Set<InstanceId> ended = ConcurrentHashMap.newKeySet();
    private final Queue<FeedRecord> serverRecords = new ConcurrentLinkedQueue<>();
    private final Queue<FeedRecord> configurationRecords = new ConcurrentLinkedQueue<>();
    private final Queue<SentOrder> orders = new ConcurrentLinkedQueue<>();
    private volatile CompletableFuture<OrderAnswer> orderAnswer =
            CompletableFuture.completedFuture(OrderAnswer.REFUSED);
    private final Map<InstanceId, Integer> probes = new ConcurrentHashMap<>();
    private volatile Optional<CompletableFuture<Optional<EngineReport>>> probeAnswer = Optional.empty();
    private volatile Set<Integer> partitions = Set.of();
    private volatile Optional<CompletableFuture<LeaseGrant>> renewals = Optional.empty();
    private volatile Optional<CompletableFuture<Void>> releases = Optional.empty();
    private volatile boolean releasesRejected;
    private volatile Optional<CompletableFuture<Long>> terms = Optional.empty();
    private final List<HttpClient> engineClients = new CopyOnWriteArrayList<>();
    private final AtomicInteger renewalCount = new AtomicInteger();
    private final AtomicInteger releaseCount = new AtomicInteger();

    /** The member that holds all partitions, among the entries that share the store; empty if there is none. */
    private final AtomicReference<String> leaseHolder;

    private final InstanceId instance;
    private final List<FeedRecord> entries;
    private final AtomicLong era;
    private final Map<InstanceId, Long> sequences = new ConcurrentHashMap<>();
    private volatile long firstEraOfOffsets;
    private volatile boolean firstStart = true;
    private volatile boolean storeDown;
    private volatile Optional<Duration> maxConfigurationDelay = Optional.empty();

    /** An order that was sent to an engine. */
    record SentOrder(InstanceId engine, Class<? extends EngineOrder> kind) {}

    FakePlatform(FleetConfiguration configuration, List<BackendServer> servers) throws IOException {
        this(
                "entry",
                configuration,
                servers,
                new CopyOnWriteArrayList<>(),
                new AtomicLong(1),
                new AtomicReference<>(""));
    }

    /** Creates the platform of another entry, which shares the store with the first one. */
    FakePlatform(String instance, FakePlatform first) throws IOException {
        this(instance, first, UnaryOperator.identity());
    }

    /**
     * Creates the platform of another entry, which shares the store with the first one.
     *
     * @param listing returns how a backend server is listed to the entry
     */
    FakePlatform(String instance, FakePlatform first, UnaryOperator<BackendServer> listing) throws IOException {
        this(
                instance,
                first.configuration,
                first.servers.stream().map(listing).toList(),
                first.entries,
                first.era,
                first.leaseHolder);
    }

    private FakePlatform(
            String instance,
            FleetConfiguration configuration,
            List<BackendServer> servers,
            List<FeedRecord> entries,
            AtomicLong era,
            AtomicReference<String> leaseHolder)
            throws IOException {
        this.leaseHolder = leaseHolder;
        this.era = era;
        this.instance = InstanceId.of(instance);
        this.entries = entries;
        this.configuration = configuration;
        this.servers = new CopyOnWriteArrayList<>(servers);
        ports = FreePorts.findFree(5);
    }

    /** Returns the clients that the gateway uses for orders and probes. */
    List<HttpClient> engineClients() {
        return engineClients;
    }

    String callersUrl() {
        return "http://127.0.0.1:" + ports.get(0);
    }

    int callerPort() {
        return ports.get(0);
    }

    String readinessUrl() {
        return "http://127.0.0.1:" + ports.get(1) + "/ready";
    }

    String directoryUrl() {
        return "http://127.0.0.1:" + ports.get(2) + "/addresses";
    }

    String metricsUrl() {
        return "http://127.0.0.1:" + ports.get(4) + "/metrics";
    }

    /** Makes reads of a feed fail, or succeed again. */
    void failReads(Feed feed, boolean fail) {
        if (fail) {
            failingFeeds.add(feed);
        } else {
            failingFeeds.remove(feed);
        }
    }

    /** Sets the time for which an older configuration may be in force, before the entry starts. */
    void setMaxConfigurationDelay(Duration delay) {
        maxConfigurationDelay = Optional.of(delay);
    }

    /** Publishes a later version of the configuration. */
    void configure(FleetConfiguration later) {
        configuration = later;
        configurationRecords.add(configurationRecord());
    }

    /** Returns the record of the current configuration, whose content differs from that of any other version. */
    private FeedRecord configurationRecord() {
        String value = VERSION_PREFIX + configuration.version();
        return new FeedRecord("configuration", Optional.of(value.getBytes(StandardCharsets.UTF_8)));
    }

    /** Publishes versions of the configuration at once; the store keeps the last one. For a single entry only. */
    void publish(List<FleetConfiguration> versions) {
        for (FleetConfiguration c : versions) {
            String value = PUBLISHED_PREFIX + published.size();
            published.add(c);
            configuration = c;
            configurationRecords.add(
                    new FeedRecord("configuration", Optional.of(value.getBytes(StandardCharsets.UTF_8))));
        }
    }

    /** Publishes a record of the configuration that cannot be decoded. */
    void publishMalformedConfiguration() {
        configurationRecords.add(
                new FeedRecord("configuration", Optional.of(MALFORMED.getBytes(StandardCharsets.UTF_8))));
    }

    /** Evacuates an availability zone. */
    void evacuate(String zone) {
        evacuated.add(zone);
        configurationRecords.add(new FeedRecord(EVACUATION_PREFIX + zone, Optional.of(new byte[1])));
    }

    /** Withdraws the evacuation of an availability zone. */
    void withdrawEvacuation(String zone) {
        evacuated.remove(zone);
        configurationRecords.add(new FeedRecord(EVACUATION_PREFIX + zone, Optional.empty()));
    }

    /** Removes a backend server from the list. */
    void unlist(String id) {
        serverRecords.add(new FeedRecord(id, Optional.empty()));
    }

    /** Lists a backend server with a later start or another state. */
    void relist(BackendServer later) {
        register(later);
        serverRecords.add(new FeedRecord(later.id().value(), Optional.of(new byte[1])));
    }

    private void register(BackendServer later) {
        servers.replaceAll(s -> s.id().equals(later.id()) ? later : s);
        sequences.merge(later.id(), 2L, (n, one) -> n + 1);
    }

    /**
     * Restores the store from an older copy, whose offsets continue as if nothing was lost.
     *
     * @param registered a backend server that registers before the list is read again
     */
    void restoreStore(BackendServer registered) {
        register(registered);
        era.incrementAndGet();
    }

    /**
     * Restores the store from an older copy without announcements of entries, which lists servers as they were; offsets
     * that were read before no longer exist.
     */
    void restoreEmptyStore(List<BackendServer> copy) {
        entries.clear();
        servers.clear();
        servers.addAll(copy);
        sequences.clear();
        firstEraOfOffsets = era.incrementAndGet();
    }

    /** Delays the responses to requests for the latest announcements of entries until a future completes. */
    void delayLatestEntries(CompletableFuture<Void> until) {
        latestEntriesDelay = until;
    }

    /** Returns the number of announcements in the store. */
    int announcementCount() {
        return entries.size();
    }

    /** Returns whether the store has an announcement of an entry. */
    boolean isAnnounced(String entry) {
        return entries.stream().anyMatch(r -> r.key().equals(entry));
    }

    /** Returns the latest announcement of an entry in the store. */
    EntryAnnouncement announcement(String entry) {
        return entries.stream()
                .filter(r -> r.key().equals(entry))
                .reduce((first, second) -> second)
                .flatMap(EntryAnnouncement::parse)
                .orElseThrow();
    }

    /** Makes a backend server respond to no probe from now on. */
    void makeUnresponsive(InstanceId server) {
        unresponsive.add(server);
    }

    /** Makes the next probe of the liveness of a backend server time out. */
    void timeOutNextProbe(InstanceId server) {
        timeouts.add(server);
    }

    /** Makes the next probe of the liveness of a backend server throw an exception. */
    void failNextProbe(InstanceId server) {
        probeFailures.add(server);
    }

    /** Makes an engine refuse connections from now on. */
    void endEngine(InstanceId engine) {
        ended.add(engine);
    }

    /** Makes all later probes of the state of engines complete with a future. */
    void answerProbes(CompletableFuture<Optional<EngineReport>> answer) {
        probeAnswer = Optional.of(answer);
    }

    /** Returns how many times the state of an engine was probed. */
    int probesOf(InstanceId engine) {
        return probes.getOrDefault(engine, 0);
    }

    /** Makes a backend server respond to probes again. */
    void makeResponsive(InstanceId server) {
        unresponsive.remove(server);
    }

    /** Grants the lease on these partitions of the fabric domains from now on. */
    void grantPartitions(Set<Integer> granted) {
        partitions = Set.copyOf(granted);
    }

    /** Makes all later renewals of leases complete with a future. */
    void answerRenewals(CompletableFuture<LeaseGrant> answer) {
        renewals = Optional.of(answer);
    }

    /** Makes all later releases of leases complete with a future. */
    void answerReleases(CompletableFuture<Void> answer) {
        releases = Optional.of(answer);
    }

    /** Makes all later releases of leases throw. */
    void rejectReleases() {
        releasesRejected = true;
    }

    /** Makes all later requests for terms complete with a future. */
    void answerTerms(CompletableFuture<Long> answer) {
        terms = Optional.of(answer);
    }

    /** Returns how many renewals of leases were requested. */
    int renewalCount() {
        return renewalCount.get();
    }

    /** Returns how many releases of leases were requested. */
    int releaseCount() {
        return releaseCount.get();
    }

    /**
     * Returns the entry that was granted the partitions first and has not released them, among the entries that share
     * the store; empty if there is none. Grants do not expire.
     */
    String leaseHolder() {
        return leaseHolder.get().replaceFirst("\\W.*", "");
    }

    /** Makes all later orders to engines complete with a future. */
    void answerOrders(CompletableFuture<OrderAnswer> answer) {
        orderAnswer = answer;
    }

    /** Returns the kinds of the orders that were sent to an engine. */
    List<Class<? extends EngineOrder>> ordersTo(InstanceId engine) {
        List<Class<? extends EngineOrder>> result = new ArrayList<>();
        orders.stream().filter(o -> o.engine().equals(engine)).forEach(o -> result.add(o.kind()));
        return result;
    }

    /** Makes the settings state from now on that this is not the first start of the fleet. */
    void markRestarted() {
        firstStart = false;
    }

    /** Makes every call to the store fail from now on. */
    void failAllStoreCalls() {
        storeDown = true;
    }

    @Override
    public GatewaySettings settings() {
        return new GatewaySettings(
                instance,
                "127.0.0.1",
                AvailabilityZone.of("z1"),
                Map.of(AvailabilityZone.of("z1"), Region.of("r1")),
                new GatewaySettings.Listeners(
                        ports.get(0), ports.get(1), ports.get(2), ports.get(3), OptionalInt.of(ports.get(4))),
                new GatewaySettings.Bounds(
                        Duration.ofMillis(2_500),
                        Duration.ofSeconds(2),
                        0.2,
                        100,
                        Duration.ofSeconds(10),
                        Duration.ofSeconds(6),
                        Duration.ofSeconds(2),
                        Duration.ofSeconds(5),
                        1.1,
                        Duration.ofSeconds(5),
                        Optional.empty(),
                        maxConfigurationDelay,
                        1.5,
                        5),
                1,
                Duration.ofSeconds(1),
                firstStart);
    }

    @Override
    public GatewaySettings reload() {
        return settings();
    }

    @Override
    public PlatformStore store(HttpClient client) {
        return this;
    }

    @Override
    public EnginePort engines(HttpClient client, ResponseHeadListener heads) {
        engineClients.add(client);
        return this;
    }

    @Override
    public FleetDecoder decoder() {
        return this;
    }

    @Override
    public ForwardingHeaders headers() {
        return HEADERS;
    }

    @Override
    public DirectoryFormat directory() {
        return this;
    }

    private <T> CompletableFuture<T> answer(T value) {
        return storeDown
                ? CompletableFuture.failedFuture(new StoreException("store is down"))
                : CompletableFuture.completedFuture(value);
    }

    @Override
    public CompletableFuture<FeedPage> readLatest(Feed feed) {
        List<FeedRecord> records = new ArrayList<>();
        if (feed == Feed.CONFIGURATION) {
            records.add(configurationRecord());
            evacuated.forEach(z -> records.add(new FeedRecord(EVACUATION_PREFIX + z, Optional.of(new byte[1]))));
        } else if (feed == Feed.BACKEND_SERVERS) {
            servers.forEach(s -> records.add(new FeedRecord(s.id().value(), Optional.of(new byte[1]))));
        }
        if (feed == Feed.ENTRIES) {
            records.addAll(entries);
        }
        FeedPage page = new FeedPage(records, new FeedPosition(era.get(), records.size()), false);
        return feed == Feed.ENTRIES ? latestEntriesDelay.thenCompose(done -> answer(page)) : answer(page);
    }

    @Override
    public CompletableFuture<FeedPage> read(Feed feed, FeedPosition from, Duration wait) {
        if (failingFeeds.contains(feed)) {
            return CompletableFuture.failedFuture(new StoreException("read failed"));
        }
        if (from.era() < firstEraOfOffsets) {
            return answer(FeedPage.ofExpired());
        }
        List<FeedRecord> records = new ArrayList<>();
        if (feed == Feed.CONFIGURATION) {
            for (FeedRecord r = configurationRecords.poll(); r != null; r = configurationRecords.poll()) {
                records.add(r);
            }
        } else if (feed == Feed.BACKEND_SERVERS) {
            Optional.ofNullable(serverRecords.poll()).ifPresent(records::add);
        }
        if (feed == Feed.ENTRIES) {
            if (from.offset() > entries.size()) {
                return answer(FeedPage.ofExpired());
            }
            records.addAll(entries.subList((int) from.offset(), entries.size()));
        }
        return answer(new FeedPage(records, new FeedPosition(era.get(), from.offset() + records.size()), false))
                .completeOnTimeout(FeedPage.ofExpired(), 1, TimeUnit.SECONDS);
    }

    @Override
    public CompletableFuture<Void> announce(String key, byte[] value) {
        entries.add(new FeedRecord(key, Optional.of(value)));
        return answer(null);
    }

    @Override
    public CompletableFuture<LeaseGrant> renewLease(String member, Duration timeToLive, long generation) {
        renewalCount.incrementAndGet();
        boolean holds =
                leaseHolder.compareAndSet("", member) || leaseHolder.get().equals(member);
        return renewals.orElseGet(() -> answer(new LeaseGrant(era.get(), 1, holds ? partitions : Set.of())));
    }

    @Override
    public CompletableFuture<Void> releaseLease(String member) {
        if (releasesRejected) {
            throw new IllegalStateException("the release of the lease was rejected");
        }
        releaseCount.incrementAndGet();
        leaseHolder.compareAndSet(member, "");
        return releases.orElseGet(() -> answer(null));
    }

    @Override
    public CompletableFuture<Long> nextTerm(String member) {
        return terms.orElseGet(() -> answer(1L));
    }

    @Override
    public Optional<AvailabilityZone> evacuatedZone(FeedRecord record) {
        return record.key().startsWith(EVACUATION_PREFIX)
                ? Optional.of(AvailabilityZone.of(record.key().substring(EVACUATION_PREFIX.length())))
                : Optional.empty();
    }

    @Override
    public Optional<FleetConfiguration> configuration(FeedRecord record) {
        if (evacuatedZone(record).isPresent()) {
            return Optional.empty();
        }
        String value = new String(record.value().orElseThrow(), StandardCharsets.UTF_8);
        if (value.startsWith(PUBLISHED_PREFIX)) {
            return Optional.of(published.get(Integer.parseInt(value.substring(PUBLISHED_PREFIX.length()))));
        }
        // Another entry may send a version before it is published here.
        return Optional.of(configuration).filter(c -> value.equals(VERSION_PREFIX + c.version()));
    }

    @Override
    public Optional<ServerRegistration> server(FeedRecord record) {
        return servers.stream()
                .filter(s -> s.id().value().equals(record.key()))
                .findFirst()
                .map(s -> new ServerRegistration(s, sequences.getOrDefault(s.id(), 1L)));
    }

    @Override
    public CompletableFuture<OrderAnswer> sendOrder(
            BackendServer server, EngineOrder order, OptionalLong expectedSequence, Duration timeout) {
        orders.add(new SentOrder(server.id(), order.getClass()));
        return orderAnswer;
    }

    @Override
    public CompletableFuture<Optional<EngineReport>> probe(BackendServer server, Duration timeout) {
        probes.merge(server.id(), 1, Integer::sum);
        if (probeAnswer.isPresent()) {
            return probeAnswer.get();
        }
        return CompletableFuture.completedFuture(
                unresponsive.contains(server.id()) || ended.contains(server.id())
                        ? Optional.empty()
                        : Optional.of(
                                new EngineReport(0, 0, false, server.group().map(m -> m.key()))));
    }

    /** Connects to the server without sending anything. */
    @Override
    public CompletableFuture<Liveness> probeLiveness(BackendServer server, String healthPath, Duration timeout) {
        if (probeFailures.remove(server.id())) {
            throw new IllegalArgumentException("the probe fails in this test");
        }
        if (timeouts.remove(server.id())) {
            return CompletableFuture.supplyAsync(
                    () -> Liveness.SILENT,
                    CompletableFuture.delayedExecutor(timeout.toMillis(), TimeUnit.MILLISECONDS));
        }
        if (unresponsive.contains(server.id())) {
            return CompletableFuture.completedFuture(Liveness.SILENT);
        }
        if (ended.contains(server.id())) {
            return CompletableFuture.completedFuture(Liveness.ENDED);
        }
        return CompletableFuture.supplyAsync(() -> connect(server, timeout));
    }

    private static Liveness connect(BackendServer server, Duration timeout) {
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress(server.host(), server.port()), (int) timeout.toMillis());
            return Liveness.RUNNING;
        } catch (ConnectException e) {
            return Liveness.ENDED;
        } catch (IOException e) {
            return Liveness.SILENT;
        }
    }

    @Override
    public boolean isReadinessRequest(String method, String path) {
        return path.equals("/ready");
    }

    @Override
    public boolean isAddressRequest(String method, String path) {
        return path.equals("/addresses");
    }

    @Override
    public Optional<AvailabilityZone> zone(String query) {
        return Optional.empty();
    }

    @Override
    public byte[] encodeAddresses(List<String> addresses, Duration lifetime) {
        return String.join(",", addresses).getBytes(StandardCharsets.UTF_8);
    }
}
