package org.baobabspindle.gateway;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.peer.PeerSecret;
import org.eclipse.jetty.http.HttpFields;

/** What the relaying of requests between entries shares: the state of the link, and the other entries. */
final class EntryRelay {
    private final Surroundings surroundings;
    private final PeerSecret secret;
    private final Map<InstanceId, Integer> outstanding = new ConcurrentHashMap<>();
    private final Set<InstanceId> moveTargets = ConcurrentHashMap.newKeySet();
    private volatile VersionListener versionListener = (by, version, now) -> {};

    /** Receives the versions of the configuration that answers to relayed requests show to callers. */
    interface VersionListener {
        void versionShown(InstanceId by, long version, Moment now);
    }

    /**
     * What an entry relays between.
     *
     * @param link the link to backend servers
     * @param peers the other entries
     */
    record Surroundings(BackendLink link, RelayPeers peers) {}

    /**
     * Creates the relay of an entry.
     *
     * @param secret the secret of this entry, with which other entries sign marks
     */
    EntryRelay(Surroundings surroundings, PeerSecret secret) {
        this.surroundings = surroundings;
        this.secret = secret;
    }

    void setVersionListener(VersionListener listener) {
        versionListener = listener;
    }

    /** An entry has answered a relayed request by a version of the configuration. */
    void versionShown(InstanceId by, long version, Moment now) {
        versionListener.versionShown(by, version, now);
    }

    BackendLink link() {
        return surroundings.link();
    }

    /** Returns the mark of a request; empty if it comes from a caller. */
    Optional<RelayMark> mark(HttpFields headers, String requestId) {
        return RelayMark.of(headers, requestId, secret);
    }

    /** Returns an entry that can take a request, other than those that have failed or refused it. */
    Optional<EntryAnnouncement> nextEntry(Set<InstanceId> except, Moment now) {
        return surroundings.peers().relayPeer(except, id -> outstanding.getOrDefault(id, 0), now);
    }

    /** Returns whether an entry has stated that it is partitioned from all backend servers. */
    boolean isPartitioned(InstanceId entry) {
        return surroundings.peers().isPartitioned(entry);
    }

    /** A request no longer occupies a slot of its server for this entry, but for another one. */
    void requestMoved(InstanceId to) {
        moveTargets.add(to);
    }

    /** Returns the entries to which requests have moved since the last call. */
    Set<InstanceId> takeMoveTargets() {
        Set<InstanceId> taken = Set.copyOf(moveTargets);
        moveTargets.removeAll(taken);
        return taken;
    }

    /** A request is sent to an entry. */
    void sent(InstanceId entry) {
        outstanding.merge(entry, 1, Integer::sum);
    }

    /** A request that was sent to an entry has ended. */
    void ended(InstanceId entry) {
        outstanding.computeIfPresent(entry, (id, count) -> count > 1 ? count - 1 : null);
    }
}
