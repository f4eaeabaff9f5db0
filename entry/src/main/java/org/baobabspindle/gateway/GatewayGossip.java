package org.baobabspindle.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.baobabspindle.core.crash.CrashCause;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.peer.PeerMessage;
import org.baobabspindle.port.Feed;
import org.baobabspindle.port.FeedPosition;

/** Exchanges state with other entries: composes the state that this entry sends and applies what it receives. */
final class GatewayGossip implements CrashPeers {
    private final EntryAnnouncement self;
    private final GatewayContext context;
    private final PeerMesh mesh;
    private final ContentExchange contents;
    private final GroupKeeper keeper;
    private final BooleanSupplier ready;
    private final Runnable onConfigurationChanged;
    private final ConfigurationUpdates configuration;
    private final ServerNotices notices;
    private final PageServer pages;
    private final Supplier<Optional<Long>> storeAge;
    private final Supplier<Optional<Double>> headroom;
    private final BooleanSupplier isFollower;
    private final BooleanSupplier partitioned;
    private final Map<Incarnation, Long> fetchedDigests = new ConcurrentHashMap<>();
    private volatile SuspicionListener suspicionListener = (suspects, now) -> {};

    /** Receives the engines that another entry reports as unresponsive. */
    interface SuspicionListener {
        void enginesSuspected(List<BackendServer> suspects, Moment now);
    }

    /** Serves what this entry has read of a feed. */
    interface PageServer {
        Optional<RelayedPage> serve(Feed feed, FeedPosition from, Moment now);
    }

    GatewayGossip(
            EntryAnnouncement self,
            GatewayContext context,
            PeerMesh mesh,
            ContentExchange contents,
            GroupKeeper keeper,
            BooleanSupplier ready,
            Runnable onConfigurationChanged,
            ServerNotices notices,
            PageServer pages,
            Supplier<Optional<Long>> storeAge,
            Supplier<Optional<Double>> headroom,
            BooleanSupplier isFollower,
            BooleanSupplier partitioned) {
        this.pages = pages;
        this.storeAge = storeAge;
        this.headroom = headroom;
        this.isFollower = isFollower;
        this.partitioned = partitioned;
        this.notices = notices;
        this.self = self;
        this.context = context;
        this.mesh = mesh;
        this.contents = contents;
        this.keeper = keeper;
        this.ready = ready;
        this.onConfigurationChanged = onConfigurationChanged;
        this.configuration = new ConfigurationUpdates(
                context.fleet(), mesh::requestConfiguration, context.clock(), onConfigurationChanged, context.log());
    }

    void setSuspicionListener(SuspicionListener listener) {
        suspicionListener = listener;
    }

    /** Another entry has shown a version to a caller of this one, which must not go back behind it. */
    void versionShown(InstanceId by, long version, Moment now) {
        context.fleet().versionShown(version, now);
        configuration.versionStated(by, version, now);
    }

    private PeerMessage.Pulse localState() {
        Moment now = context.clock().now();
        return new PeerMessage.Pulse(
                ready.getAsBoolean(),
                context.fleet().version(),
                context.fleet().configurationAge(now).map(Duration::toMillis).orElse(-1L),
                context.dispatcher().ownCounts(),
                context.dispatcher().demand(now),
                keeper.staging(now),
                notices.recentlyLeaving(now),
                rateLimitNotices(now),
                isFollower.getAsBoolean(),
                context.quarantine().digest(now),
                partitioned.getAsBoolean(),
                context.fleet().evacuations().notice(now).orElse(null),
                storeAge.get().orElse(null),
                coldNotices(now),
                context.dispatcher().ownUnread().orElse(null),
                headroom.get().orElse(null));
    }

    private List<PeerMessage.ColdNotice> coldNotices(Moment now) {
        List<PeerMessage.ColdNotice> result = new ArrayList<>();
        context.dispatcher()
                .coldReports(now)
                .forEach((server, s) -> result.add(new PeerMessage.ColdNotice(
                        server.format(),
                        s.left().toMillis(),
                        now.since(s.receivedAt()).toMillis())));
        return result;
    }

    private List<PeerMessage.RateLimitNotice> rateLimitNotices(Moment now) {
        List<PeerMessage.RateLimitNotice> result = new ArrayList<>();
        context.dispatcher().rateLimitReports(now).forEach((server, report) -> {
            OptionalDouble limit = report.perSecond();
            result.add(new PeerMessage.RateLimitNotice(
                    server.format(),
                    limit.isPresent() ? limit.getAsDouble() : null,
                    now.since(report.receivedAt()).toMillis()));
        });
        return result;
    }

    /** Exchanges state with the peers that are due in this round. */
    void exchangeState() {
        Moment startedAt = context.clock().now();
        context.dispatcher().updateRateSharing(mesh.sharingEntries(startedAt), startedAt);
        mesh.exchangeState(localState(), context.clock(), this::stateReceived);
    }

    /** Exchanges state at once with those of some peers that are responsive. */
    void exchangeStateWith(Set<InstanceId> entries) {
        mesh.exchangeStateWith(entries, localState(), context.clock(), this::stateReceived);
    }

    /** Exchanges state with all responsive peers at once. */
    void exchangeStateWithAll() {
        mesh.exchangeStateWithAll(localState(), context.clock(), this::stateReceived);
    }

    private void stateReceived(EntryAnnouncement from, PeerMessage.Pulse pulse, Moment requestedAt, Moment now) {
        context.dispatcher().updatePeerCounts(from.entry().instance(), pulse.loads(), pulse.unread(), now);
        updateEvacuations(pulse, Optional.of(requestedAt), now);
        context.dispatcher().answered(from.entry().instance(), requestedAt);
        configuration.answerReceived(from.entry().instance(), pulse, requestedAt, now);
        notices.receiveLeaving(pulse.leaving());
        notices.receiveRateLimits(pulse.limits());
        notices.receiveCold(pulse.cold());
        updateCrashes(from, pulse);
        withdrawReports(from.entry().instance(), pulse);
    }

    /**
     * Applies the evacuations that another entry stated.
     *
     * @param statedAfter a moment that is not later than the statement; empty for a request, which this entry may have
     *     read long after its arrival because it was paused
     */
    private void updateEvacuations(PeerMessage.Pulse pulse, Optional<Moment> statedAfter, Moment now) {
        if (pulse.evacuations() != null
                && context.fleet().evacuations().stated(pulse.evacuations(), statedAfter, now)) {
            onConfigurationChanged.run();
        }
    }

    private void withdrawReports(InstanceId from, PeerMessage.Pulse pulse) {
        if (pulse.statesPartition()) {
            keeper.withdrawReports(from);
        }
    }

    /**
     * Fetches the quarantined requests of an entry if their digest differs from this entry's and was not fetched yet.
     */
    private void updateCrashes(EntryAnnouncement from, PeerMessage.Pulse pulse) {
        long remoteDigest = pulse.turnedAway();
        long localDigest = context.quarantine().digest(context.clock().now());
        Incarnation entry = from.entry();
        if (remoteDigest != 0
                && remoteDigest != localDigest
                && !Objects.equals(fetchedDigests.get(entry), remoteDigest)) {
            mesh.requestCrashes(from, crashes -> {
                context.quarantine().receive(crashes);
                fetchedDigests.put(entry, remoteDigest);
            });
        }
    }

    @Override
    public void broadcast(List<PeerMessage.CrashNotice> notices) {
        mesh.broadcast(new PeerMessage.CrashesTold(notices), context.clock().now());
    }

    @Override
    public int entries() {
        return context.entryCount();
    }

    @Override
    public boolean retriesHere(CrashCause cause, Moment now) {
        return mesh.isFirstChoice(cause.value(), now);
    }

    /** Returns the response to a message of another entry. */
    PeerMessage respond(PeerMessage message) {
        if (message instanceof PeerMessage.PulseAsk p) {
            mesh.stateReceived(p.from(), p.pulse());
            context.dispatcher().heardFrom(p.from().instance());
            notices.receiveCold(p.pulse().cold());
            notices.receiveLeaving(p.pulse().leaving());
            notices.receiveRateLimits(p.pulse().limits());
            Moment now = context.clock().now();
            context.dispatcher()
                    .updatePeerCounts(
                            p.from().instance(), p.pulse().loads(), p.pulse().unread(), now);
            updateEvacuations(p.pulse(), Optional.empty(), now);
            configuration.versionStated(p.from().instance(), p.pulse().version(), now);
            withdrawReports(p.from().instance(), p.pulse());
            return new PeerMessage.PulseAnswer(localState().readableBy(mesh.provenProtocol(p.from())));
        } else if (message instanceof PeerMessage.ConfigurationAsk c) {
            return contents.answer(c);
        } else if (message instanceof PeerMessage.CrashesTold c) {
            context.quarantine().receive(c.notices());
            return new PeerMessage.Noted();
        } else if (message instanceof PeerMessage.CrashesAsk) {
            return new PeerMessage.CrashesAnswer(
                    context.quarantine().quarantineNotices(context.clock().now()));
        } else if (message instanceof PeerMessage.ServersAsk s) {
            return readServers(s);
        } else if (message instanceof PeerMessage.FeedAsk a) {
            return readFeed(a);
        } else if (message instanceof PeerMessage.EnginesSuspected s) {
            receiveSuspects(s);
            return new PeerMessage.Noted();
        }
        return new PeerMessage.Failed("not a message between gateways");
    }

    /** Returns the records after a position; a position without an era may be of an earlier one. */
    private PeerMessage readServers(PeerMessage.ServersAsk request) {
        if (request.era() == null) {
            return new PeerMessage.Failed("the position has no era");
        }
        FeedPosition from = new FeedPosition(request.era(), request.from());
        return pages.serve(Feed.BACKEND_SERVERS, from, context.clock().now())
                .<PeerMessage>map(served -> StoreRecords.toMessage(served.page()))
                .orElse(new PeerMessage.Failed("the list is not followed here"));
    }

    private PeerMessage readFeed(PeerMessage.FeedAsk request) {
        Optional<Feed> feed = Arrays.stream(Feed.values())
                .filter(f -> f.name().equals(request.feed()))
                .findFirst();
        if (feed.isEmpty() || request.era() < 0 || request.from() < 0) {
            return new PeerMessage.Failed("the feed or position is not known");
        }
        Moment now = context.clock().now();
        return pages.serve(feed.get(), new FeedPosition(request.era(), request.from()), now)
                .<PeerMessage>map(served -> contents.answer(request, served, now))
                .orElse(new PeerMessage.Failed("the feed is not followed here"));
    }

    /** Applies a report of unresponsive engines, unless its sender or this entry is partitioned from them. */
    private void receiveSuspects(PeerMessage.EnginesSuspected report) {
        if (partitioned.getAsBoolean() || mesh.isPartitioned(report.by())) {
            return;
        }
        Set<InstanceId> ids = new HashSet<>(report.engines());
        List<BackendServer> suspects = context.fleet().servers().stream()
                .filter(x -> ids.contains(x.id()))
                .toList();
        suspicionListener.enginesSuspected(suspects, context.clock().now());
        keeper.reportSuspects(report.by(), suspects);
    }

    /**
     * Reports engines that do not respond to this entry to all keepers, the one of this entry included, unless this
     * entry is partitioned from the backend servers.
     */
    void broadcastSuspects(List<BackendServer> suspects) {
        if (partitioned.getAsBoolean()) {
            return;
        }
        InstanceId by = self.entry().instance();
        keeper.reportSuspects(by, suspects);
        List<InstanceId> ids = suspects.stream().map(BackendServer::id).toList();
        mesh.broadcast(
                new PeerMessage.EnginesSuspected(by, ids), context.clock().now());
    }
}
