package org.baobabspindle.gateway;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.id.RequestFingerprint;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.peer.PeerMessage;

/** What this entry tells other entries, and what it takes over from them. */
final class GatewayGossip implements CrashGuard.Peers {
    private final EntryAnnouncement self;
    private final GatewayContext context;
    private final PeerMesh mesh;
    private final GroupKeeper keeper;
    private final BooleanSupplier ready;
    private final Runnable onConfigurationChanged;
    private final ServerNotices notices;
    private final RecentPages recent;
    private final BooleanSupplier isFollower;
    private final Map<Incarnation, Long> fetchedDigests = new ConcurrentHashMap<>();
    private volatile SuspicionListener suspicionListener = (silent, now) -> {};

    /** Hears which engines do not answer another entry. */
    interface SuspicionListener {
        void enginesSuspected(List<BackendServer> silent, Moment now);
    }

    GatewayGossip(
            EntryAnnouncement self,
            GatewayContext context,
            PeerMesh mesh,
            GroupKeeper keeper,
            BooleanSupplier ready,
            Runnable changed,
            ServerNotices notices,
            RecentPages recent,
            BooleanSupplier follows) {
        this.recent = recent;
        this.isFollower = follows;
        this.notices = notices;
        this.self = self;
        this.context = context;
        this.mesh = mesh;
        this.keeper = keeper;
        this.ready = ready;
        this.onConfigurationChanged = changed;
    }

    void setSuspicionListener(SuspicionListener newHearer) {
        suspicionListener = newHearer;
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
                isFollower.getAsBoolean(),
                context.quarantine().digest(now));
    }

    /** Exchanges the state of this entry for that of every other one. */
    void exchangeState() {
        mesh.exchangeState(localState(), context.clock(), (from, pulse, askedAt, now) -> {
            context.dispatcher().updatePeerCounts(from.entry().instance(), pulse.loads(), now);
            updateConfiguration(from, pulse, askedAt);
            notices.receiveLeaving(pulse.leaving());
            updateCrashes(from, pulse);
        });
    }

    /** Asks an entry for the requests that it turns away if they are others than this entry's and were not asked for yet. */
    private void updateCrashes(EntryAnnouncement from, PeerMessage.Pulse pulse) {
        long theirs = pulse.turnedAway();
        long own = context.quarantine().digest(context.clock().now());
        Incarnation entry = from.entry();
        if (theirs != 0 && theirs != own && !Objects.equals(fetchedDigests.get(entry), theirs)) {
            mesh.requestCrashes(from, crashes -> {
                context.quarantine().receive(crashes);
                fetchedDigests.put(entry, theirs);
            });
        }
    }

    @Override
    public void broadcast(List<PeerMessage.CrashNotice> notices) {
        mesh.broadcast(new PeerMessage.CrashesTold(notices), context.clock().now());
    }

    @Override
    public boolean retriesHere(RequestFingerprint request, Moment now) {
        return mesh.isFirstChoice(request.value(), now);
    }

    /** The age in a pulse counts until it was sent, which was not before this entry asked. */
    private void updateConfiguration(EntryAnnouncement from, PeerMessage.Pulse pulse, Moment askedAt) {
        long own = context.fleet().version();
        if (pulse.versionAgeMillis() >= 0 && pulse.version() == own) {
            context.fleet().confirmedByPeer(own, askedAt.minus(Duration.ofMillis(pulse.versionAgeMillis())));
        } else if (pulse.version() > own) {
            mesh.requestConfiguration(from, (key, text) -> {
                context.fleet().configurationFromPeer(key, text);
                onConfigurationChanged.run();
            });
        }
    }

    /** Answers a question of another entry. */
    PeerMessage respond(PeerMessage ask) {
        if (ask instanceof PeerMessage.PulseAsk p) {
            mesh.stateReceived(p.from(), p.pulse());
            notices.receiveLeaving(p.pulse().leaving());
            Moment now = context.clock().now();
            context.dispatcher().updatePeerCounts(p.from().instance(), p.pulse().loads(), now);
            return new PeerMessage.PulseAnswer(localState());
        } else if (ask instanceof PeerMessage.ConfigurationAsk) {
            return new PeerMessage.ConfigurationAnswer(
                    context.fleet().configurationKey(), context.fleet().configurationText());
        } else if (ask instanceof PeerMessage.CrashesTold c) {
            context.quarantine().receive(c.notices());
            return new PeerMessage.Noted();
        } else if (ask instanceof PeerMessage.CrashesAsk) {
            return new PeerMessage.CrashesAnswer(
                    context.quarantine().quarantineNotices(context.clock().now()));
        } else if (ask instanceof PeerMessage.ServersAsk s) {
            return recent.after(s.from(), context.clock().now())
                    .<PeerMessage>map(StoreRecords::answer)
                    .orElse(new PeerMessage.Failed("the list is not followed here"));
        } else if (ask instanceof PeerMessage.EnginesSuspected s) {
            Set<InstanceId> ids = new HashSet<>(s.engines());
            List<BackendServer> suspects = context.fleet().servers().stream()
                    .filter(x -> ids.contains(x.id()))
                    .toList();
            suspicionListener.enginesSuspected(suspects, context.clock().now());
            keeper.reportSuspects(s.by(), suspects);
            return new PeerMessage.Noted();
        }
        return new PeerMessage.Failed("not a message between gateways");
    }

    /** Tells the keepers, this entry's own included, which engines do not answer this entry. */
    void broadcastSuspects(List<BackendServer> suspects) {
        InstanceId by = self.entry().instance();
        keeper.reportSuspects(by, suspects);
        List<InstanceId> ids = suspects.stream().map(BackendServer::id).toList();
        mesh.broadcast(
                new PeerMessage.EnginesSuspected(by, ids), context.clock().now());
    }
}
