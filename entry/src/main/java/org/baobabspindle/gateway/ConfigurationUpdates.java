package org.baobabspindle.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.logging.EventLog;
import org.baobabspindle.peer.PeerMessage;
import org.baobabspindle.port.FeedRecord;

/**
 * Follows the versions of the configuration that other entries state: confirms the own one, or fetches a newer one. One
 * transfer is in progress at a time, since several would delay each other on the link and bring the same version.
 */
final class ConfigurationUpdates {
    private final FleetTable fleet;
    private final Source source;
    private final GatewayClock clock;
    private final Runnable onInstalled;
    private final EventLog log;
    private boolean fetching;

    /** The newest version that was stated while a transfer was in progress, and where it is followed. */
    private Optional<Stated> next = Optional.empty();

    private record Stated(InstanceId by, long version) {}

    /** Requests the configuration of another entry; the future fails if it does not answer in time. */
    interface Source {
        CompletableFuture<FeedRecord> request(InstanceId from);
    }

    ConfigurationUpdates(FleetTable fleet, Source source, GatewayClock clock, Runnable onInstalled, EventLog log) {
        this.fleet = fleet;
        this.source = source;
        this.clock = clock;
        this.onInstalled = onInstalled;
        this.log = log;
    }

    /**
     * Applies the state in another entry's answer. The age in the state counts until the state was sent, which was not
     * before this entry requested it.
     */
    void answerReceived(InstanceId from, PeerMessage.Pulse state, Moment requestedAt, Moment now) {
        long localVersion = fleet.version();
        if (state.versionAgeMillis() >= 0 && state.version() == localVersion) {
            fleet.confirmedByPeer(localVersion, requestedAt.minus(Duration.ofMillis(state.versionAgeMillis())));
        }
        versionStated(from, state.version(), now);
    }

    /** Fetches the version that another entry follows if it is newer than the one of this entry. */
    void versionStated(InstanceId by, long version, Moment now) {
        if (version > fleet.version()) {
            fleet.newerVersionStated(version, now);
            fetch(new Stated(by, version));
        }
    }

    private void fetch(Stated stated) {
        synchronized (this) {
            if (fetching) {
                next = next.filter(n -> n.version() >= stated.version()).or(() -> Optional.of(stated));
                return;
            }
            fetching = true;
        }
        request(stated.by()).whenComplete((record, failure) -> {
            try {
                if (failure == null) {
                    fleet.configurationFromPeer(stated.by(), record, clock.now());
                    onInstalled.run();
                } else {
                    String reason = "could not fetch a newer version: " + failure;
                    log.write("configuration", reason, "version", stated.version(), "entry", stated.by());
                }
            } finally {
                takeNext().filter(n -> n.version() > fleet.version()).ifPresent(this::fetch);
            }
        });
    }

    private CompletableFuture<FeedRecord> request(InstanceId from) {
        try {
            return source.request(from);
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private synchronized Optional<Stated> takeNext() {
        Optional<Stated> taken = next;
        next = Optional.empty();
        fetching = false;
        return taken;
    }
}
