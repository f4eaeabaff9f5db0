package org.baobabspindle.gateway;

import java.time.Duration;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.peer.PeerMessage;

/** Follows the versions of the configuration that other entries state: confirms the own one, or fetches a newer one. */
final class ConfigurationUpdates {
    private final FleetTable fleet;
    private final Source source;
    private final GatewayClock clock;
    private final Runnable onInstalled;

    /** Requests the configuration of another entry; the sink is not called if the request fails. */
    interface Source {
        void request(InstanceId from, ConfigurationSink sink);
    }

    /** Receives a configuration of another entry. */
    interface ConfigurationSink {
        void received(String key, String text);
    }

    ConfigurationUpdates(FleetTable fleet, Source source, GatewayClock clock, Runnable onInstalled) {
        this.fleet = fleet;
        this.source = source;
        this.clock = clock;
        this.onInstalled = onInstalled;
    }

    /**
     * Applies the state of another entry. The age in the state counts until the state was sent, which was not before this
     * entry requested it.
     */
    void stateReceived(InstanceId from, PeerMessage.Pulse state, Moment requestedAt, Moment now) {
        long localVersion = fleet.version();
        if (state.versionAgeMillis() >= 0 && state.version() == localVersion) {
            fleet.confirmedByPeer(localVersion, requestedAt.minus(Duration.ofMillis(state.versionAgeMillis())));
        } else if (state.version() > localVersion) {
            fleet.newerVersionStated(state.version(), now);
            source.request(from, (key, text) -> {
                fleet.configurationFromPeer(from, key, text, clock.now());
                onInstalled.run();
            });
        }
    }
}
