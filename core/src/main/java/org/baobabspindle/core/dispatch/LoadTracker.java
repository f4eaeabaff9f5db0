package org.baobabspindle.core.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.time.Moment;

/**
 * The requests outstanding at each target: those of this entry, and those that other entries have last told of. Answers
 * the load in which many entries send to the same targets at the same time.
 */
public final class LoadTracker {
    /** Counts of an entry that is silent for longer are dropped; ten times the usual pause between two messages. */
    private static final Duration PEER_COUNT_LIFETIME = Duration.ofSeconds(2);

    private final Map<String, Integer> ownCounts = new HashMap<>();
    private final Map<InstanceId, PeerCounts> peers = new HashMap<>();
    private final Map<String, Integer> ofPeers = new HashMap<>();

    /** Creates an empty board. */
    public LoadTracker() {}

    private record PeerCounts(Map<String, Integer> counts, Moment receivedAt) {}

    /**
     * Notes that a request was sent.
     *
     * @param target the key of the target
     */
    public void requestSent(String target) {
        ownCounts.merge(target, 1, Integer::sum);
    }

    /**
     * Notes that a request has ended.
     *
     * @param target the key of the target
     */
    public void requestEnded(String target) {
        ownCounts.computeIfPresent(target, (k, n) -> n > 1 ? n - 1 : null);
    }

    /**
     * Takes over what another entry tells.
     *
     * @param entry the entry
     * @param counts its outstanding requests by target
     * @param now the present time
     */
    public void updatePeerCounts(InstanceId entry, Map<String, Integer> counts, Moment now) {
        PeerCounts before = peers.put(entry, new PeerCounts(Map.copyOf(counts), now));
        if (before != null) {
            add(before.counts(), -1);
        }
        add(counts, 1);
    }

    /**
     * Returns the requests of this entry.
     *
     * @return the counts by target
     */
    public Map<String, Integer> ownCounts() {
        return Map.copyOf(ownCounts);
    }

    /**
     * Returns the requests that this entry has outstanding at a target.
     *
     * @param target the key of the target
     * @return the count
     */
    public int ownCount(String target) {
        return ownCounts.getOrDefault(target, 0);
    }

    /**
     * Adds up the counts of all entries.
     *
     * @param now the present time
     * @return a function from the key of a target to the requests outstanding there
     */
    public Function<String, Integer> totals(Moment now) {
        peers.values().removeIf(p -> {
            boolean old = now.since(p.receivedAt()).compareTo(PEER_COUNT_LIFETIME) > 0;
            if (old) {
                add(p.counts(), -1);
            }
            return old;
        });
        return target -> ownCounts.getOrDefault(target, 0) + ofPeers.getOrDefault(target, 0);
    }

    private void add(Map<String, Integer> counts, int sign) {
        counts.forEach((target, n) -> ofPeers.merge(target, sign * n, (a, b) -> a + b == 0 ? null : a + b));
    }
}
