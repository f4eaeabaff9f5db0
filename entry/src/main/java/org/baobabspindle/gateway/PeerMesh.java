package org.baobabspindle.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.baobabspindle.core.group.Rendezvous;
import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.logging.EventLog;
import org.baobabspindle.peer.PeerAddress;
import org.baobabspindle.peer.PeerClient;
import org.baobabspindle.peer.PeerMessage;
import org.baobabspindle.peer.PeerSecret;
import org.baobabspindle.peer.PeerTraffic;
import org.baobabspindle.port.FeedPage;
import org.baobabspindle.port.FeedRecord;

/** The other entries: who they are, which of them answer, and what they tell. */
final class PeerMesh {
    /** The loads that an entry had begun are over this long after it was last heard; three of the longest. */
    private static final Duration STAGING_RETENTION = Duration.ofSeconds(48);

    /** The wait for an answer of another entry; a few times the way between regions. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(800);

    /** The entries of the caller's own zone that make others needless; two, so that one may fail. */
    private static final int MIN_READY_IN_ZONE = 2;

    /** The addresses that callers use of one answer. */
    private static final int MAX_ADDRESSES = 64;

    private final EntryAnnouncement self;
    private final PeerClient client;
    private final EventLog log;
    private final Map<InstanceId, Peer> peers = new HashMap<>();
    private long round;
    private long followerIndex;

    private static final class Peer {
        private final EntryAnnouncement entry;
        private Optional<Moment> lastResponseAt = Optional.empty();
        private boolean ready;
        private boolean follows;
        private boolean requestPending;
        private long lastRequestRound;
        private Map<String, Double> demand = Map.of();
        private Map<String, String> staging = Map.of();

        Peer(EntryAnnouncement entry) {
            this.entry = entry;
        }
    }

    /** Hears the pulse of another entry. */
    interface StateListener {
        void stateReceived(EntryAnnouncement from, PeerMessage.Pulse pulse, Moment askedAt, Moment now);
    }

    PeerMesh(EntryAnnouncement self, Executor workers, PeerTraffic traffic, EventLog log) {
        this.self = self;
        this.client = new PeerClient(self.entry(), this::secret, workers, traffic);
        this.log = log;
    }

    void close() {
        client.close();
    }

    /** Takes over records of the feed of entries. */
    synchronized void announcementsRead(List<FeedRecord> records) {
        for (FeedRecord r : records) {
            EntryAnnouncement.parse(r)
                    .filter(e -> !e.entry().instance().equals(self.entry().instance()))
                    .ifPresent(this::addPeer);
        }
    }

    private void addPeer(EntryAnnouncement entry) {
        InstanceId id = entry.entry().instance();
        Peer old = peers.get(id);
        if (old != null && old.entry.equals(entry)) {
            return;
        }
        if (old != null) {
            client.disconnect(old.entry.peerAddress());
        }
        log.write("peer", "an entry has announced itself", "entry", entry.entry(), "address", entry.callerAddress());
        peers.put(id, new Peer(entry));
    }

    /** Returns the secret of the entry that was last announced at an address. */
    private synchronized PeerSecret secret(PeerAddress address) {
        for (Peer p : peers.values()) {
            if (p.entry.peerAddress().equals(address)) {
                return new PeerSecret(p.entry.secret());
            }
        }
        throw new IllegalStateException("no entry was announced at " + address);
    }

    /** Asks those of the entries without an open question that were not asked for the longest time. */
    void exchangeState(PeerMessage.Pulse own, GatewayClock clock, StateListener sink) {
        for (Peer p : selectPeersToQuery()) {
            Moment askedAt = clock.now();
            PeerMessage ask = new PeerMessage.PulseAsk(self.entry(), own);
            client.ask(p.entry.peerAddress(), ask, ANSWER_TIMEOUT).whenComplete((answer, failure) -> {
                Moment now = clock.now();
                synchronized (this) {
                    p.requestPending = false;
                }
                if (answer instanceof PeerMessage.PulseAnswer a) {
                    responseReceived(p, a.pulse(), now);
                    sink.stateReceived(p.entry, a.pulse(), askedAt, now);
                }
            });
        }
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

    private synchronized void responseReceived(Peer p, PeerMessage.Pulse pulse, Moment now) {
        if (p.lastResponseAt.isEmpty()) {
            log.write("peer", "an entry answers", "entry", p.entry.entry());
        }
        p.lastResponseAt = Optional.of(now);
        p.ready = pulse.ready();
        p.follows = pulse.follows();
        p.demand = pulse.demand();
        p.staging = pulse.staging();
    }

    /** Notes a pulse that another entry sent with its question. */
    synchronized void stateReceived(Incarnation from, PeerMessage.Pulse pulse) {
        Peer p = peers.get(from.instance());
        if (p != null && p.entry.entry().equals(from)) {
            p.ready = pulse.ready();
            p.follows = pulse.follows();
            p.demand = pulse.demand();
            p.staging = pulse.staging();
        }
    }

    /** Sends a message to every entry that answers. */
    void broadcast(PeerMessage message, Moment now) {
        for (Peer p : alivePeers(now)) {
            client.ask(p.entry.peerAddress(), message, ANSWER_TIMEOUT).whenComplete((answer, failure) -> {
                if (failure != null) {
                    log.write("peer", "a message was not answered: " + failure.getMessage(), "entry", p.entry.entry());
                }
            });
        }
    }

    /** Asks one entry for its configuration. */
    void requestConfiguration(EntryAnnouncement from, ConfigurationSink sink) {
        client.ask(from.peerAddress(), new PeerMessage.ConfigurationAsk(), ANSWER_TIMEOUT)
                .thenAccept(a -> {
                    if (a instanceof PeerMessage.ConfigurationAnswer c) {
                        sink.received(c.key(), c.text());
                    }
                });
    }

    /** Asks one entry for the crashes of the requests that it turns away. */
    void requestCrashes(EntryAnnouncement from, Consumer<List<PeerMessage.CrashNotice>> sink) {
        client.ask(from.peerAddress(), new PeerMessage.CrashesAsk(), ANSWER_TIMEOUT)
                .thenAccept(a -> {
                    if (a instanceof PeerMessage.CrashesAnswer c) {
                        sink.accept(c.notices());
                    }
                });
    }

    /** Takes a configuration of another entry. */
    interface ConfigurationSink {
        void received(String key, String text);
    }

    /** Reads the list of backend servers from an entry that follows it, another one at each question. */
    CompletableFuture<Optional<FeedPage>> readServers(long from, Moment now) {
        Optional<Peer> follower = nextFollower(now);
        if (follower.isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return client.ask(follower.get().entry.peerAddress(), new PeerMessage.ServersAsk(from), ANSWER_TIMEOUT)
                .handle((answer, failure) -> answer instanceof PeerMessage.ServersAnswer a
                        ? Optional.of(StoreRecords.page(a))
                        : Optional.empty());
    }

    private synchronized Optional<Peer> nextFollower(Moment now) {
        List<Peer> followers = new ArrayList<>(alivePeers(now));
        followers.removeIf(p -> !p.follows);
        if (followers.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(followers.get((int) (followerIndex++ % followers.size())));
    }

    private synchronized List<Peer> alivePeers(Moment now) {
        List<Peer> result = new ArrayList<>();
        Duration patience = FleetScaling.aliveTimeout(entryCount());
        for (Peer p : peers.values()) {
            if (p.lastResponseAt.filter(h -> now.since(h).compareTo(patience) <= 0).isPresent()) {
                result.add(p);
            }
        }
        return result;
    }

    /** Returns how many entries share what all may do together: those known, whether they answer or not. */
    synchronized int entryCount() {
        return peers.size() + 1;
    }

    /** Returns how many entries answer, this one included. */
    int aliveEntryCount(Moment now) {
        return alivePeers(now).size() + 1;
    }

    /** Returns how many entries that answer come before this one among the candidates for keepers. */
    int rankAmongAlive(Moment now) {
        List<InstanceId> others =
                alivePeers(now).stream().map(p -> p.entry.entry().instance()).toList();
        return KeeperRanks.rank(self.entry().instance(), others);
    }

    /** Returns whether this entry is the first choice for a name among those that answer. */
    boolean isFirstChoice(String name, Moment now) {
        List<InstanceId> all = new ArrayList<>();
        all.add(self.entry().instance());
        alivePeers(now).forEach(p -> all.add(p.entry.entry().instance()));
        return Rendezvous.rank(name, all).get(0).equals(self.entry().instance());
    }

    /** Adds up the slots that the requests to all entries would fill, by model. */
    Map<String, Double> totalDemand(Map<String, Double> own, Moment now) {
        Map<String, Double> result = new HashMap<>(own);
        for (Peer p : alivePeers(now)) {
            p.demand.forEach((model, slots) -> result.merge(model, slots, Double::sum));
        }
        return result;
    }

    /**
     * Returns the models that engines stage on orders of other entries, for a while also of those that do not answer any more:
     * an entry that ends does not end the loads it has begun.
     */
    synchronized Map<String, String> stagingOfPeers(Moment now) {
        Map<String, String> result = new HashMap<>();
        for (Peer p : peers.values()) {
            if (p.lastResponseAt.filter(h -> now.since(h).compareTo(STAGING_RETENTION) <= 0).isPresent()) {
                result.putAll(p.staging);
            }
        }
        return result;
    }

    /** Returns the addresses of entries that take requests, those of the caller's zone alone if there are enough. */
    List<String> addresses(Optional<AvailabilityZone> zone, boolean selfReady, Moment now) {
        List<EntryAnnouncement> ready = new ArrayList<>();
        if (selfReady) {
            ready.add(self);
        }
        for (Peer p : alivePeers(now)) {
            if (p.ready) {
                ready.add(p.entry);
            }
        }
        List<EntryAnnouncement> near = ready.stream()
                .filter(e -> zone.filter(e.zone()::equals).isPresent())
                .toList();
        List<EntryAnnouncement> chosen = new ArrayList<>(near.size() >= MIN_READY_IN_ZONE ? near : ready);
        Collections.shuffle(chosen, new Random(now.monotonicNanos()));
        return chosen.stream()
                .limit(MAX_ADDRESSES)
                .map(EntryAnnouncement::callerAddress)
                .toList();
    }
}
