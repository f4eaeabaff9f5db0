package org.baobabspindle.gateway;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;
import org.baobabspindle.core.dispatch.AddressSelector;
import org.baobabspindle.core.dispatch.RelayPeerChooser;
import org.baobabspindle.core.group.Rendezvous;
import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.logging.EventLog;
import org.baobabspindle.peer.PeerAddress;
import org.baobabspindle.peer.PeerClient;
import org.baobabspindle.peer.PeerMessage;
import org.baobabspindle.peer.PeerProtocol;
import org.baobabspindle.peer.PeerSecret;
import org.baobabspindle.peer.PeerTraffic;
import org.baobabspindle.port.Feed;
import org.baobabspindle.port.FeedPosition;
import org.baobabspindle.port.FeedRecord;

/**
 * Tracks the other entries (peers): their announcements, which of them are responsive, and their last received state.
 */
final class PeerMesh implements RelayPeers {
    /**
     * How long the weight loads of an entry are counted after its last response, which is the time of three of the
     * longest loads: all that it had started are complete by then.
     */
    private static final Duration STAGING_RETENTION = Duration.ofSeconds(48);

    /** How long an unresponsive entry may keep its share of limits; it has restarted or was replaced by then. */
    private static final Duration SHARING_RETENTION = Duration.ofSeconds(30);

    /**
     * How long the demand of an unresponsive entry counts after its last response: its callers move to other entries,
     * where their requests show within this time, rather than disappear.
     */
    private static final Duration DEMAND_RETENTION = Duration.ofSeconds(10);

    /** The timeout of a request to a peer; several times the round trip between regions. */
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(800);

    /**
     * The timeout of a read from a peer. Two reads that time out and a read of the store then end within the time in which
     * a change must be known.
     */
    private static final Duration READ_TIMEOUT = Duration.ofMillis(400);

    /**
     * The time after the last request that it answered at which an entry is not listed any more. Callers use addresses for two seconds, and
     * an entry that has ended must not be listed for 7 s; in a fleet of 340, an entry counts as responsive for 9.6 s.
     */
    private static final Duration MAX_LISTED_AGE = Duration.ofSeconds(5);

    /** The maximum number of addresses that callers use from one response. */
    private static final int MAX_ADDRESSES = 64;

    /** The entries of this zone that must serve a feed so that it is not read across zones. */
    private static final int MIN_SOURCES_IN_ZONE = 2;

    private final EntryAnnouncement self;
    private final BooleanSupplier partitioned;
    private final PeerClient client;
    private final ContentExchange contents;
    private final EventLog log;
    private final Map<InstanceId, Peer> peers = new HashMap<>();
    private long round;
    private long followerIndex;
    private Optional<Double> ownHeadroom = Optional.empty();

    private static final class Peer {
        private final EntryAnnouncement entry;
        private final PeerCompatibility compatibility;
        private Optional<Moment> lastResponseAt = Optional.empty();
        /** When the last answered request was sent; the entry was running then, however late its response was read. */
        private Optional<Moment> lastAnsweredRequestAt = Optional.empty();

        private boolean ready;
        private final FeedSource source = new FeedSource();
        private boolean partitioned;
        private boolean requestPending;
        private long lastRequestRound;
        /** The number of states that its own requests carried. */
        private long statesSent;

        private Optional<Double> headroom = Optional.empty();
        private Map<String, Double> demand = Map.of();
        private Map<String, String> staging = Map.of();

        Peer(EntryAnnouncement entry) {
            this.entry = entry;
            this.compatibility = PeerCompatibility.of(entry.announcedProtocol());
        }

        void update(PeerMessage.Pulse pulse) {
            ready = pulse.ready();
            source.update(pulse);
            partitioned = pulse.statesPartition();
            headroom = Optional.ofNullable(pulse.headroom());
            demand = pulse.demand();
            staging = pulse.staging();
        }
    }

    /** Receives the state of another entry. */
    interface StateListener {
        void stateReceived(EntryAnnouncement from, PeerMessage.Pulse pulse, Moment requestedAt, Moment now);
    }

    PeerMesh(
            EntryAnnouncement self,
            BooleanSupplier partitioned,
            Executor workers,
            PeerTraffic traffic,
            ContentExchange contents,
            EventLog log) {
        this.contents = contents;
        this.self = self;
        this.partitioned = partitioned;
        this.client = new PeerClient(self.entry(), this::secret, workers, traffic);
        this.log = log;
    }

    void close() {
        client.close();
    }

    /** Applies records of the feed of entry announcements; the announcement of this entry itself is ignored. */
    synchronized void announcementsRead(List<FeedRecord> records) {
        for (FeedRecord r : records) {
            EntryAnnouncement.parse(r)
                    .filter(e -> !e.entry().instance().equals(self.entry().instance()))
                    .ifPresent(this::addPeer);
        }
    }

    private void addPeer(EntryAnnouncement entry) {
        InstanceId id = entry.entry().instance();
        Peer known = peers.get(id);
        if (known != null && known.entry.equals(entry)) {
            return;
        }
        if (known != null) {
            client.disconnect(known.entry.peerAddress());
        }
        log.write("peer", "new entry announced", "entry", entry.entry(), "address", entry.callerAddress());
        peers.put(id, new Peer(entry));
    }

    /** Returns the secret of the entry that is announced at an address. */
    private synchronized PeerSecret secret(PeerAddress address) {
        for (Peer p : peers.values()) {
            if (p.entry.peerAddress().equals(address)) {
                return new PeerSecret(p.entry.secret());
            }
        }
        throw new IllegalStateException("no entry is announced at " + address);
    }

    /** Exchanges state with the least recently queried peers that have no pending request. */
    void exchangeState(PeerMessage.Pulse localState, GatewayClock clock, StateListener listener) {
        synchronized (this) {
            ownHeadroom = Optional.ofNullable(localState.headroom());
        }
        exchangeState(selectPeersToQuery(), localState, clock, listener);
    }

    /** Exchanges state with those of some peers that are responsive, like {@link #exchangeStateWithAll}. */
    void exchangeStateWith(
            Set<InstanceId> entries, PeerMessage.Pulse localState, GatewayClock clock, StateListener listener) {
        List<Peer> receivers = alivePeers(clock.now());
        receivers.removeIf(p -> !entries.contains(p.entry.entry().instance()));
        exchangeState(receivers, localState, clock, listener);
    }

    /** Exchanges state with all responsive peers, whether or not they have a pending request with an earlier state. */
    void exchangeStateWithAll(PeerMessage.Pulse localState, GatewayClock clock, StateListener listener) {
        exchangeState(alivePeers(clock.now()), localState, clock, listener);
    }

    private void exchangeState(
            List<Peer> receivers, PeerMessage.Pulse localState, GatewayClock clock, StateListener listener) {
        receivers.forEach(p -> exchangeState(p, localState, clock, listener));
    }

    private void exchangeState(Peer p, PeerMessage.Pulse localState, GatewayClock clock, StateListener listener) {
        Moment requestedAt = clock.now();
        long statesBefore = statesSent(p);
        PeerProtocol protocol = assumedProtocol(p);
        PeerMessage.Pulse state = localState.readableBy(protocol);
        PeerMessage request = new PeerMessage.PulseAsk(self.entry(), state);
        client.ask(p.entry.peerAddress(), request, REQUEST_TIMEOUT).whenComplete((answer, failure) -> {
            if (requestEnded(p, state.requiredProtocol(), protocol, failure)) {
                exchangeState(p, localState, clock, listener);
                return;
            }
            Moment now = clock.now();
            synchronized (this) {
                p.requestPending = false;
            }
            if (answer instanceof PeerMessage.PulseAnswer a) {
                responseReceived(p, a.pulse(), statesBefore, requestedAt, now);
                listener.stateReceived(p.entry, a.pulse(), requestedAt, now);
            }
        });
    }

    private synchronized long statesSent(Peer p) {
        return p.statesSent;
    }

    private synchronized PeerProtocol assumedProtocol(Peer p) {
        return p.compatibility.assumed();
    }

    /** Evaluates the end of a request; returns whether its receiver may not have been able to read it. */
    private synchronized boolean requestEnded(
            Peer p, PeerProtocol required, PeerProtocol assumedAtSend, Throwable failure) {
        if (failure == null) {
            p.compatibility.answered(required);
            return false;
        }
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof IOException && p.compatibility.connectionClosed(required, assumedAtSend);
    }

    /** Returns the protocol that an entry is known to read; the lowest if the entry is not known. */
    synchronized PeerProtocol provenProtocol(Incarnation entry) {
        Peer p = peers.get(entry.instance());
        return p != null && p.entry.entry().equals(entry) ? p.compatibility.proven() : PeerProtocol.BASE;
    }

    private synchronized List<Peer> selectPeersToQuery() {
        round++;
        List<Peer> result = new ArrayList<>(peers.values());
        result.removeIf(p -> p.requestPending);
        result.sort(Comparator.comparingLong(p -> p.lastRequestRound));
        result = result.subList(0, Math.min(FleetScaling.PEERS_PER_ROUND, result.size()));
        for (Peer p : result) {
            p.requestPending = true;
            p.lastRequestRound = round;
        }
        return result;
    }

    /**
     * Records a response. Its state is not applied if the peer has sent its state after the request, as it may be older:
     * a peer sends a change at once.
     */
    private synchronized void responseReceived(
            Peer p, PeerMessage.Pulse pulse, long statesBefore, Moment requestedAt, Moment now) {
        if (p.lastResponseAt.isEmpty()) {
            log.write("peer", "first response from the entry", "entry", p.entry.entry());
        }
        p.lastResponseAt = Optional.of(now);
        p.lastAnsweredRequestAt = Optional.of(requestedAt);
        if (p.statesSent == statesBefore) {
            p.update(pulse);
        }
    }

    /** Updates the state of a peer with the state that its request carried. */
    synchronized void stateReceived(Incarnation from, PeerMessage.Pulse pulse) {
        Peer p = peers.get(from.instance());
        if (p != null && p.entry.entry().equals(from)) {
            p.statesSent++;
            p.update(pulse);
        }
    }

    /** Sends a message to every responsive entry. */
    void broadcast(PeerMessage message, Moment now) {
        for (Peer p : alivePeers(now)) {
            client.ask(p.entry.peerAddress(), message, REQUEST_TIMEOUT).whenComplete((answer, failure) -> {
                if (failure != null) {
                    log.write("peer", "message failed: " + failure.getMessage(), "entry", p.entry.entry());
                }
            });
        }
    }

    /** Requests the configuration of an entry; the future fails if the entry is not known or does not answer in time. */
    CompletableFuture<FeedRecord> requestConfiguration(InstanceId from) {
        Optional<Peer> peer = peer(from);
        if (peer.isEmpty()) {
            return CompletableFuture.failedFuture(new IOException("entry " + from + " is not known"));
        }
        boolean extensible = assumedProtocol(peer.get()).includes(PeerProtocol.EXTENSIBLE);
        PeerMessage request = contents.requestConfiguration(extensible);
        return client.ask(peer.get().entry.peerAddress(), request, REQUEST_TIMEOUT)
                .thenApply(a -> contents.record((PeerMessage.ConfigurationAnswer) a));
    }

    private synchronized Optional<Peer> peer(InstanceId entry) {
        return Optional.ofNullable(peers.get(entry));
    }

    /**
     * Requests the crashes of the requests that an entry has in quarantine; the sink is not called if the request
     * fails.
     */
    void requestCrashes(EntryAnnouncement from, Consumer<List<PeerMessage.CrashNotice>> sink) {
        client.ask(from.peerAddress(), new PeerMessage.CrashesAsk(), REQUEST_TIMEOUT)
                .thenAccept(a -> {
                    if (a instanceof PeerMessage.CrashesAnswer c) {
                        sink.accept(c.notices());
                    }
                });
    }

    /**
     * Reads a feed from the next entry in turn that serves it at a level, and from another one if that fails; empty if
     * there is none or both fail.
     */
    CompletableFuture<Optional<RelayedPage>> readFeed(
            Feed feed, FeedPosition from, ReadLevel level, GatewayClock clock) {
        return readFeedOnce(feed, from, level, true, clock)
                .thenCompose(page -> page.isPresent()
                        ? CompletableFuture.completedFuture(page)
                        : readFeedOnce(feed, from, level, false, clock));
    }

    private CompletableFuture<Optional<RelayedPage>> readFeedOnce(
            Feed feed, FeedPosition from, ReadLevel level, boolean zonePreferred, GatewayClock clock) {
        Moment requestedAt = clock.now();
        Optional<Peer> source = nextSource(feed, level, zonePreferred, requestedAt);
        if (source.isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        Peer p = source.get();
        PeerProtocol protocol = assumedProtocol(p);
        boolean servesAll = servesAllFeeds(p);
        ContentExchange.FeedRequest feedRequest = contents.request(feed, from);
        PeerMessage request = servesAll ? feedRequest.message() : new PeerMessage.ServersAsk(from.era(), from.offset());
        return client.ask(p.entry.peerAddress(), request, READ_TIMEOUT).handle((answer, failure) -> {
            requestEnded(p, servesAll ? PeerProtocol.EXTENSIBLE : PeerProtocol.RATE_LIMITS, protocol, failure);
            Optional<RelayedPage> page = page(feed, feedRequest, answer, requestedAt);
            if (page.isEmpty()) {
                synchronized (this) {
                    p.source.readFailed(failure == null, clock.now());
                }
            }
            return page;
        });
    }

    /** Returns the page of an answer. An entry of an earlier release states no age, but serves no page above the maximum. */
    private static Optional<RelayedPage> page(
            Feed feed, ContentExchange.FeedRequest request, PeerMessage answer, Moment requestedAt) {
        if (answer instanceof PeerMessage.FeedAnswer a) {
            return request.page(a, requestedAt);
        }
        if (answer instanceof PeerMessage.ServersAnswer a) {
            Moment provenAt = requestedAt.minus(FleetScaling.maxServedAge(feed));
            return Optional.of(new RelayedPage(StoreRecords.toPage(a), Optional.of(provenAt)));
        }
        return Optional.empty();
    }

    private synchronized boolean servesAllFeeds(Peer p) {
        return p.source.servesAllFeeds();
    }

    private synchronized Optional<Peer> nextSource(Feed feed, ReadLevel level, boolean zonePreferred, Moment now) {
        List<Peer> sources = new ArrayList<>(alivePeers(now));
        sources.removeIf(p ->
                !p.source.serves(feed, level, now) || !p.compatibility.assumed().includes(PeerProtocol.RATE_LIMITS));
        if (sources.isEmpty()) {
            return Optional.empty();
        }
        List<Peer> inZone = new ArrayList<>(sources);
        inZone.removeIf(p -> !p.entry.zone().equals(self.zone()));
        // A single source would have to serve all entries of the zone.
        List<Peer> chosen = zonePreferred && inZone.size() >= MIN_SOURCES_IN_ZONE ? inZone : sources;
        return Optional.of(chosen.get((int) (followerIndex++ % chosen.size())));
    }

    /**
     * Returns the rank of this entry among the candidates for readers: the candidates for keepers that are not known to be
     * cut off from the store.
     */
    synchronized int rankAmongReaders(Moment now) {
        List<InstanceId> others = connectedPeers(now).stream()
                .filter(p -> p.source.canRead())
                .map(p -> p.entry.entry().instance())
                .toList();
        return KeeperRanks.rank(self.entry().instance(), others);
    }

    private synchronized List<Peer> alivePeers(Moment now) {
        List<Peer> result = new ArrayList<>();
        Duration timeout = FleetScaling.aliveTimeout(entryCount());
        for (Peer p : peers.values()) {
            if (p.lastResponseAt
                    .filter(at -> now.since(at).compareTo(timeout) <= 0)
                    .isPresent()) {
                result.add(p);
            }
        }
        return result;
    }

    /**
     * Returns the number of known entries, which share limits of the whole fleet, whether they are responsive or not.
     */
    synchronized int entryCount() {
        return peers.size() + 1;
    }

    /** Returns the peers that are responsive and not partitioned from the backend servers. */
    private synchronized List<Peer> connectedPeers(Moment now) {
        List<Peer> result = new ArrayList<>(alivePeers(now));
        result.removeIf(p -> p.partitioned);
        return result;
    }

    @Override
    public synchronized boolean isPartitioned(InstanceId entry) {
        Peer p = peers.get(entry);
        return p != null && p.partitioned;
    }

    @Override
    public Optional<EntryAnnouncement> relayPeer(
            Set<InstanceId> except, ToIntFunction<InstanceId> outstanding, Moment now) {
        Map<InstanceId, EntryAnnouncement> entries = new HashMap<>();
        List<RelayPeerChooser.Candidate> candidates = new ArrayList<>();
        for (Peer p : connectedPeers(now)) {
            InstanceId id = p.entry.entry().instance();
            if (p.ready && p.compatibility.proven().includes(PeerProtocol.PARTITIONS) && !except.contains(id)) {
                entries.put(id, p.entry);
                candidates.add(new RelayPeerChooser.Candidate(
                        id, p.entry.zone().equals(self.zone()), outstanding.applyAsInt(id)));
            }
        }
        return RelayPeerChooser.choose(candidates, new SplittableRandom(now.monotonicNanos()))
                .map(entries::get);
    }

    /**
     * Returns the number of entries that send requests to backend servers, at least 1: the known ones, whether they are
     * responsive or not, except those that are partitioned from the backend servers.
     */
    synchronized int dispatchingEntryCount(Moment now) {
        int partitionedPeers = alivePeers(now).size() - connectedPeers(now).size();
        return Math.max(1, entryCount() - partitionedPeers - (partitioned.getAsBoolean() ? 1 : 0));
    }

    /** Returns the number of candidates for a keeper, this entry included. */
    int candidateCount(Moment now) {
        return connectedPeers(now).size() + 1;
    }

    /**
     * Returns the entries that share limits of backend servers, this one included: those that are responsive, ready and
     * not partitioned from the backend servers. An entry that has lost contact to half of the others shares with all that
     * were responsive a short time ago, since those may still send requests.
     */
    synchronized Set<InstanceId> sharingEntries(Moment now) {
        Set<InstanceId> recent = new HashSet<>(Set.of(self.entry().instance()));
        for (Peer p : peers.values()) {
            if (p.lastResponseAt
                    .filter(at -> now.since(at).compareTo(SHARING_RETENTION) <= 0)
                    .isPresent()) {
                recent.add(p.entry.entry().instance());
            }
        }
        Set<InstanceId> responsive = new HashSet<>(Set.of(self.entry().instance()));
        alivePeers(now).stream()
                .filter(p -> p.ready)
                .forEach(p -> responsive.add(p.entry.entry().instance()));
        if (responsive.size() * 2 <= recent.size()) {
            return recent;
        }
        responsive.removeIf(this::isPartitioned);
        return responsive;
    }

    /**
     * Returns the rank of this entry among the candidates for a keeper: the entries that are responsive and not
     * partitioned from the backend servers.
     */
    int rankAmongCandidates(Moment now) {
        List<InstanceId> others = connectedPeers(now).stream()
                .map(p -> p.entry.entry().instance())
                .toList();
        return KeeperRanks.rank(self.entry().instance(), others);
    }

    /** Returns whether this entry is the rendezvous choice for a name among the responsive entries. */
    boolean isFirstChoice(String name, Moment now) {
        List<InstanceId> all = new ArrayList<>();
        all.add(self.entry().instance());
        alivePeers(now).forEach(p -> all.add(p.entry.entry().instance()));
        return Rendezvous.rank(name, all).get(0).equals(self.entry().instance());
    }

    /**
     * Returns the slots required by the requests to all entries, by model. Entries that became unresponsive are included
     * for a while: a late response would otherwise remove and restore a large part of the demand within seconds.
     */
    synchronized Map<String, Double> totalDemand(Map<String, Double> own, Moment now) {
        Map<String, Double> result = new HashMap<>(own);
        Duration alive = FleetScaling.aliveTimeout(entryCount());
        Duration retention = alive.compareTo(DEMAND_RETENTION) > 0 ? alive : DEMAND_RETENTION;
        for (Peer p : peers.values()) {
            if (p.lastResponseAt
                    .filter(at -> now.since(at).compareTo(retention) <= 0)
                    .isPresent()) {
                p.demand.forEach((model, slots) -> result.merge(model, slots, Double::sum));
            }
        }
        return result;
    }

    /**
     * Returns the models that engines are staging on orders of other entries, by engine lifetime. Entries that became
     * unresponsive are included for a while, since the loads that an entry has started continue when it terminates.
     */
    synchronized Map<String, String> stagingOfPeers(Moment now) {
        Map<String, String> result = new HashMap<>();
        for (Peer p : peers.values()) {
            if (p.lastResponseAt
                    .filter(at -> now.since(at).compareTo(STAGING_RETENTION) <= 0)
                    .isPresent()) {
                result.putAll(p.staging);
            }
        }
        return result;
    }

    /**
     * Returns addresses of ready entries in random order, only those of the caller's zone if there are enough and they can
     * serve its callers. Entries that are partitioned from the backend servers are left out unless all ready entries are.
     */
    List<String> addresses(Optional<AvailabilityZone> zone, boolean selfReady, Moment now) {
        List<AddressSelector.Candidate> reachable = readyEntries(selfReady, false, now);
        List<AddressSelector.Candidate> ready = reachable.isEmpty() ? readyEntries(selfReady, true, now) : reachable;
        return AddressSelector.select(ready, zone, MAX_ADDRESSES, new Random(now.monotonicNanos()));
    }

    /** Returns the ready entries that are partitioned from the backend servers, or those that are not. */
    private synchronized List<AddressSelector.Candidate> readyEntries(
            boolean selfReady, boolean partitionedOnes, Moment now) {
        List<AddressSelector.Candidate> result = new ArrayList<>();
        if (selfReady && partitioned.getAsBoolean() == partitionedOnes) {
            result.add(candidate(self, ownHeadroom));
        }
        for (Peer p : alivePeers(now)) {
            boolean heard = p.lastAnsweredRequestAt
                    .filter(at -> now.since(at).compareTo(MAX_LISTED_AGE) <= 0)
                    .isPresent();
            if (heard && p.ready && p.partitioned == partitionedOnes) {
                result.add(candidate(p.entry, p.headroom));
            }
        }
        return result;
    }

    private static AddressSelector.Candidate candidate(EntryAnnouncement entry, Optional<Double> headroom) {
        OptionalDouble capacity =
                entry.capacity() == null ? OptionalDouble.empty() : OptionalDouble.of(entry.capacity());
        return new AddressSelector.Candidate(entry.callerAddress(), entry.zone(), capacity, headroom.orElse(1.0));
    }
}
